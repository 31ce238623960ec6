package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sendCheckInterval is the time between two checks of a connection on which a long request
// is being sent.
const sendCheckInterval = tcpUserTimeout / 8

// sendWatch keeps the TCP user timeout from ending the connection to an endpoint that reads
// nothing for some time. The timeout also runs while the endpoint's receive window is full,
// although its system acknowledges each probe. While it does, sendWatch extends the timeout;
// once it no longer does, the kernel ends the connection. Without TCP_INFO the timeout stays as
// it is.
type sendWatch struct {
	raw     syscall.RawConn
	started time.Time
	written atomic.Bool // All of the request was handed to the kernel.

	mu       sync.Mutex
	timer    *time.Timer
	extended bool // The timeout is longer than tcpUserTimeout.
	ended    bool
}

// watchSending watches a connection on which a request is about to be sent. It returns nil
// if the connection can't be watched.
func watchSending(conn net.Conn) *sendWatch {
	withRaw, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return nil // It is closed.
	}
	w := &sendWatch{raw: raw, started: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(sendCheckInterval, w.check)
	return w
}

// setWritten records that the request was handed to the kernel.
func (w *sendWatch) setWritten() {
	if w != nil {
		w.written.Store(true)
	}
}

// end ends the watch and restores tcpUserTimeout.
func (w *sendWatch) end() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked()
}

func (w *sendWatch) endLocked() {
	w.ended = true
	w.timer.Stop()
	if w.extended {
		w.extended = false
		_ = w.setUserTimeout(tcpUserTimeout) // It fails only on a connection that is closed.
	}
}

// check extends the timeout if the endpoint acknowledges what is sent.
func (w *sendWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	info, err := w.info()
	if err != nil || (w.written.Load() && !isPending(info)) {
		w.endLocked()
		return
	}
	if isPending(info) && acknowledges(info) {
		w.extended = w.setUserTimeout(time.Since(w.started)+tcpUserTimeout) == nil
	}
	w.timer.Reset(sendCheckInterval)
}

// isPending reports whether sent bytes are unacknowledged, or bytes wait to be sent.
func isPending(info *unix.TCPInfo) bool { return info.Unacked > 0 || info.Notsent_bytes > 0 }

// acknowledges reports whether the peer has acknowledged something since the last check, or
// has left no probe or retransmission unanswered.
func acknowledges(info *unix.TCPInfo) bool {
	sinceLast := time.Duration(info.Last_ack_recv) * time.Millisecond
	return sinceLast < sendCheckInterval || (info.Probes == 0 && info.Retransmits == 0)
}

func (w *sendWatch) info() (info *unix.TCPInfo, err error) {
	controlErr := w.raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}

func (w *sendWatch) setUserTimeout(timeout time.Duration) (err error) {
	controlErr := w.raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
