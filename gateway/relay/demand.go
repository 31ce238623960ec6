package relay

import (
	"flamingospar.org/core/placement"
	"flamingospar.org/core/teamshare"
	"flamingospar.org/gateway/engines"
)

// recordDemand counts the work of the stream for its team, once: further attempts are the
// same demand. A prompt that no idle engine could read in time is not counted unless it was
// admitted, since it shows no shortage.
func (s *stream) recordDemand(placed engines.Placement) {
	if s.demandRecorded {
		return
	}
	s.demandRecorded = true
	admitted := placed.Verdict == placement.InTime
	if admitted || placed.CouldBeInTime {
		s.relay.Shares.Record(s.job.shareClass(), s.job.Team, placed.Work, admitted)
	}
}

// shareClass returns the class of requests that the job belongs to.
func (j *Job) shareClass() teamshare.Class {
	return teamshare.Class{Service: j.Service, Priority: priorityLevel(j.Priority) / levelsPerPriority}
}
