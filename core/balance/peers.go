package balance

import (
	"math"
	"time"

	"flamingospar.org/core/decay"
)

// Parameters of the reports of other processes.
const (
	// reportHalfLife is the time in which a report loses half of its weight. Processes of
	// other data centres report about once a second.
	reportHalfLife = 2 * time.Second
	// meanHalfLife is the half-life of reports in the mean of a process.
	meanHalfLife = 300 * time.Millisecond
	// maxReportAge is the age at which a report is dropped. The processes whose reports are
	// older are counted as not heard.
	maxReportAge = 3 * time.Second
	// negligibleMean is the mean below which a process without requests in flight is dropped.
	negligibleMean = 0.001
	// maxReported is the highest number of requests in flight that a process can have.
	maxReported = 1024
)

// report is what another process has reported.
type report struct {
	inFlight float64 // By the latest report.
	mean     float64 // Of the reports a short time ago.
	at       time.Time
}

// SetPeer records the requests in flight of another process. Invalid reports are ignored.
func (e *Endpoint) SetPeer(now time.Time, peer string, inFlight int) {
	if inFlight < 0 || inFlight > maxReported {
		return
	}
	known, ok := e.peers[peer]
	switch {
	case !ok && inFlight == 0:
		return
	case !ok || now.Sub(known.at) > maxReportAge:
		known.mean = float64(inFlight)
	case now.Before(known.at):
		return
	default:
		left := decay.Remaining(now.Sub(known.at), meanHalfLife)
		known.mean = known.mean*left + float64(inFlight)*(1-left)
	}
	known.inFlight, known.at = float64(inFlight), now
	if known.inFlight == 0 && known.mean < negligibleMean {
		delete(e.peers, peer)
		return
	}
	e.peers[peer] = known
}

// DropPeer forgets the reports of another process.
func (e *Endpoint) DropPeer(peer string) { delete(e.peers, peer) }

// Others returns the requests of other processes that are likely to be in flight.
// peerLoadFactor is the factor from the loads of this process and its peers to those of all
// processes.
func (e *Endpoint) Others(now time.Time, peerLoadFactor float64) float64 {
	answerMS := e.answerMS(now)
	sum := 0.0
	for peer, known := range e.peers {
		age := max(now.Sub(known.at), 0)
		if age > maxReportAge {
			delete(e.peers, peer)
			continue
		}
		sum += known.likelyAfter(age, answerMS)
	}
	own := float64(len(e.own))
	return sum + (max(peerLoadFactor, 1)-1)*(sum+own)
}

// oldestReport returns the age of the oldest report.
func (e *Endpoint) oldestReport(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, known := range e.peers {
		oldest = max(oldest, now.Sub(known.at))
	}
	return oldest
}

// likelyAfter returns what is likely to be left of a report at an age: the requests in flight at
// the time of the report are answered after about one answer time, others like the mean of
// the process have replaced them.
func (r report) likelyAfter(age time.Duration, answerMS float64) float64 {
	unanswered := math.Exp(-milliseconds(age) / answerMS)
	likely := r.mean + (r.inFlight-r.mean)*unanswered
	return likely * decay.Remaining(age, reportHalfLife)
}
