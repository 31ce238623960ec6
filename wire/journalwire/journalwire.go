// Package journalwire translates events of the journal to and from their messages.
package journalwire

import (
	"time"

	"flamingospar.org/base/journal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Encode returns the message of an event.
func Encode(event journal.Event) *wirev1.JournalEvent {
	wired := &wirev1.JournalEvent{
		UnixNanos: event.At.UnixNano(),
		Process:   event.Process,
		Part:      event.Part,
		Code:      event.Code,
		Sentence:  event.Sentence,
		Request:   event.Request,
		Team:      event.Team,
		Endpoint:  event.Endpoint,
	}
	for _, fact := range event.Facts {
		wired.Facts = append(wired.Facts, &wirev1.JournalFact{Name: fact.Name, Value: fact.Value})
	}
	return wired
}

// Decode returns the event of a message.
func Decode(wired *wirev1.JournalEvent) journal.Event {
	event := journal.Event{
		At:       time.Unix(0, wired.UnixNanos).UTC(),
		Process:  wired.Process,
		Part:     wired.Part,
		Code:     wired.Code,
		Sentence: wired.Sentence,
		Request:  wired.Request,
		Team:     wired.Team,
		Endpoint: wired.Endpoint,
	}
	for _, fact := range wired.Facts {
		event.Facts = append(event.Facts, journal.Fact{Name: fact.Name, Value: fact.Value})
	}
	return event
}
