package relay

import "encoding/json"

// streamingBody returns the body of a model request with streaming enabled.
// Engines and agents always stream; the entry collects the text if the caller
// asked for a single body.
func streamingBody(body []byte) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	return json.Marshal(fields)
}
