package server

import "errors"

var (
	errNoStart = errors.New("first message is no RunStart; remedy: send RunStart first")
	errClosed  = errors.New("stream is closed")
)
