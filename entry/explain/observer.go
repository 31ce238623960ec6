// Package explain records the entry's decisions and their reasons in its
// journal. Package observe answers operators' queries from the journals of all
// entries and of the agents concerned.
package explain

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"flamingospar.org/base/journal"
	"flamingospar.org/entry/pipeline"
)

// Observer is a pipeline.Observer that records requests.
type Observer struct {
	journal *journal.Journal
}

// NewObserver returns an observer that writes to j.
func NewObserver(j *journal.Journal) *Observer { return &Observer{journal: j} }

// Observe records each choice of an endpoint and the end of the request. filters
// names the filters that the request passed.
func (o *Observer) Observe(x *pipeline.Exchange, filters []string) {
	for i, chosen := range x.Choices {
		o.journal.Record(choiceEvent(x, i+1, chosen))
	}
	o.journal.Record(endEvent(x, filters))
}

func choiceEvent(x *pipeline.Exchange, attempt int, chosen pipeline.AttemptChoice) journal.Event {
	choice := chosen.Choice
	event := journal.Event{
		At:       chosen.At,
		Part:     "entry/choose",
		Sentence: fmt.Sprintf("Attempt %d goes to %s.", attempt, choice.Endpoint),
		Request:  x.ID,
		Team:     x.Team,
		Endpoint: choice.Endpoint,
		Facts:    []journal.Fact{{Name: "score", Value: strconv.FormatFloat(choice.Score, 'g', 4, 64)}},
	}
	if choice.Endpoint == "" {
		event.Sentence = fmt.Sprintf("Attempt %d found no endpoint.", attempt)
	}
	for _, other := range choice.Alternatives {
		event.Facts = append(event.Facts, journal.Fact{
			Name:  "alternative_" + other.Endpoint,
			Value: strconv.FormatFloat(other.Score, 'g', 4, 64),
		})
	}
	for _, filter := range slices.Sorted(maps.Keys(choice.Dropped)) {
		event.Facts = append(event.Facts, journal.Fact{Name: "dropped_" + filter, Value: strconv.Itoa(choice.Dropped[filter])})
	}
	return event
}

func endEvent(x *pipeline.Exchange, filters []string) journal.Event {
	event := journal.Event{
		Part:     "entry/pipeline",
		Sentence: "The request ended: " + x.Outcome.String() + ".",
		Request:  x.ID,
		Team:     x.Team,
		Facts: []journal.Fact{
			{Name: "route", Value: x.Route},
			{Name: "model", Value: x.Model},
			{Name: "attempts", Value: strconv.Itoa(x.Attempts)},
			{Name: "filters", Value: fmt.Sprint(filters)},
			{Name: "millis", Value: strconv.FormatInt(time.Since(x.ArrivedAt).Milliseconds(), 10)},
		},
	}
	if x.Refused != nil {
		event.Code = string(x.Refused.Code)
		event.Sentence = "The request was refused: " + x.Refused.Detail + "."
		event.Facts = append(event.Facts,
			journal.Fact{Name: "outcome", Value: x.Refused.Outcome.String()},
			journal.Fact{Name: "remedy", Value: x.Refused.Reason().Remedy})
	}
	return event
}
