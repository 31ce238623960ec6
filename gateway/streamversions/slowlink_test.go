package streamversions_test

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// slowConn receives at most bytesPerMS on average, whatever a sleep takes.
type slowConn struct {
	net.Conn
	freeAt *time.Time // When the link has carried what was read.
}

const bytesPerMS = 20_000_000 / 8 / 1000 // The link of most machines of the largest site.

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 4<<10)])
	if now := time.Now(); c.freeAt.Before(now) {
		*c.freeAt = now
	}
	*c.freeAt = c.freeAt.Add(time.Duration(n) * time.Millisecond / bytesPerMS)
	if wait := time.Until(*c.freeAt); wait > 2*time.Millisecond {
		time.Sleep(wait)
	}
	return n, err
}

// newSlowClient returns a client whose connections are slowConns.
func newSlowClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return slowConn{conn, new(time.Time)}, err
	}}}
}

// Guards against refused take-ups in a large fleet: the whole table was read for each, and is
// larger than a link carries in the time that a take-up waits.
func TestTakeUpsAreFoundOverASlowLinkInALargeFleet(t *testing.T) {
	const (
		processes = 68
		perSecond = 500 // Streams that begin.
		segments  = 16  // Of a process: 65 s, each of ten writes, one each 0.4 s.
		perRow    = perSecond * 65 / processes / segments
	)
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1", "v2")
	p.awaitConfirmed()
	p.stop()
	for process := range processes {
		for n := range segments {
			var ids []string
			for i := range perRow {
				ids = append(ids, fmt.Sprint(process, "-", n, "-", i))
			}
			putSegment(store, fmt.Sprintf("front-perth-%d/0123abcd/%d", process, n), []string{"v1", "v2"}, ids...)
		}
	}
	q := newProcessOn(t, site.NewStore(store.Address, newSlowClient()), testFleet{}, "b")
	q.run()
	q.list("v1", "v2")
	q.awaitConfirmed()
	const takeUps = 20
	found := make(chan time.Duration, takeUps)
	for i := range takeUps { // One each 100 ms.
		go func() {
			start := time.Now()
			if q.find(fmt.Sprintf("%d-%d-%d", i, i%segments, 0)) == "v1" {
				found <- time.Since(start)
			} else {
				found <- 0
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	known := 0
	for range takeUps {
		if took := <-found; took > 0 {
			known++
			t.Log("found after", took)
		}
	}
	require.GreaterOrEqual(t, known, takeUps/2, "of %d", takeUps)
}

// putSegment writes a segment of another process with streams, whose versions take turns.
func putSegment(store *sitetest.Store, key string, versions []string, ids ...string) {
	var streams []byte
	for i, id := range ids {
		streams = append(binary.BigEndian.AppendUint64(streams, uint64(streamversion.IDOf(id))), byte(i%len(versions)))
	}
	store.PutRaw(streamversions.Table, "streams/"+key, fmt.Appendf(nil, `{"written_ms":%d,"versions":["%s"],"streams":%q}`,
		time.Now().UnixMilli()%1_000_000_000, strings.Join(versions, `","`), base64.StdEncoding.EncodeToString(streams)))
}
