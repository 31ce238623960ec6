package server

import "errors"

var (
	errNoStart   = errors.New("first message is no RunStart; remedy: send RunStart first")
	errClosed    = errors.New("stream is closed")
	errSilent    = errors.New("the entry fell silent")
	errGone      = errors.New("the entry closed the stream")
	errCancelled = errors.New("the entry cancelled the run")
	errLeaving   = errors.New("the endpoint is leaving")
)
