package journal

import "fmt"

// Log records a log line as an event; its signature is that of logging.Sink. The
// values of the keys request, team, endpoint and code go to the event's fields of
// these names, all others to Facts.
func (j *Journal) Log(part, sentence string, err error, keysAndValues []any) {
	event := Event{Part: part, Sentence: sentence}
	if err != nil {
		event.Facts = append(event.Facts, Fact{Name: "error", Value: err.Error()})
	}
	code := ""
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		fact := Fact{Name: fmt.Sprint(keysAndValues[i]), Value: fmt.Sprint(keysAndValues[i+1])}
		switch fact.Name {
		case "request":
			event.Request = fact.Value
		case "team":
			event.Team = fact.Value
		case "endpoint":
			event.Endpoint = fact.Value
		case "code":
			code = fact.Value
		default:
			event.Facts = append(event.Facts, fact)
		}
	}
	j.add(event, code)
}
