package relay

import "encoding/json"

// streamingBody returns a model request's body with streaming switched on, so
// that engine and agent always stream; the entry collects whole answers.
func streamingBody(body []byte) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	return json.Marshal(fields)
}
