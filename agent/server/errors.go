package server

import "errors"

var (
	errMissingRunStart = errors.New("first message is not RunStart; remedy: send RunStart first")
	errRunFinished     = errors.New("run has ended")
	errEntrySilent     = errors.New("the entry missed its heartbeats")
	errStreamClosed    = errors.New("the entry closed the stream")
	errRunCancelled    = errors.New("the entry cancelled the run")
	errDraining        = errors.New("the endpoint is draining")
)
