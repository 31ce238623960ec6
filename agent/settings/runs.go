package settings

import (
	"time"

	"flamingospar.org/core/catalogue"
)

// Defaults of how runs are followed and ended.
const (
	defaultAnnounceTime = catalogue.Duration(4 * time.Second)
	defaultFirst        = catalogue.Duration(15 * time.Second)
	defaultNext         = catalogue.Duration(5 * time.Second)
)

// Silence bounds how long an endpoint may send nothing during a run.
type Silence struct {
	First catalogue.Duration `toml:"first"` // Until the first part of an answer.
	Next  catalogue.Duration `toml:"next"`  // Between two parts.
}

func (s Settings) withRunDefaults() Settings {
	if s.AnnounceTime == 0 {
		s.AnnounceTime = defaultAnnounceTime
	}
	if s.Silence.First == 0 {
		s.Silence.First = defaultFirst
	}
	if s.Silence.Next == 0 {
		s.Silence.Next = defaultNext
	}
	return s
}

func (s Settings) checkRuns() error {
	spans := []struct {
		key  string
		span catalogue.Duration
	}{
		{"announce_time", s.AnnounceTime},
		{"silence.first", s.Silence.First},
		{"silence.next", s.Silence.Next},
	}
	for _, field := range spans {
		if field.span < 0 {
			return &Problem{Key: field.key, Message: "is negative", Remedy: `write a span such as "5s"`}
		}
	}
	return nil
}
