package settings

import (
	"time"

	"flamingospar.org/core/catalogue"
)

// Defaults of the drain announcement and the silence limits.
const (
	defaultAnnounceTime = catalogue.Duration(4 * time.Second)
	defaultFirstSilence = catalogue.Duration(15 * time.Second)
	defaultNextSilence  = catalogue.Duration(5 * time.Second)
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
		s.Silence.First = defaultFirstSilence
	}
	if s.Silence.Next == 0 {
		s.Silence.Next = defaultNextSilence
	}
	return s
}

func (s Settings) checkRuns() error {
	durations := []struct {
		key   string
		value catalogue.Duration
	}{
		{"announce_time", s.AnnounceTime},
		{"silence.first", s.Silence.First},
		{"silence.next", s.Silence.Next},
	}
	for _, field := range durations {
		if field.value < 0 {
			return &Problem{Key: field.key, Message: "is negative", Remedy: `write a duration such as "5s"`}
		}
	}
	return nil
}
