// Package client calls an entry's operators' interface for the command line.
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"flamingospar.org/entry/operator"
	"flamingospar.org/platform/httpapi"
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 64 << 20

// Client calls one entry.
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// New returns a client of the operators' address base, for example
// "http://10.0.0.1:8081".
func New(base, credential string, httpClient *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), credential: credential, http: httpClient}
}

// Call sends body as JSON and reads the answer into answer; both may be nil. A
// refusal is returned as *operator.Problem.
func (c *Client) Call(ctx context.Context, method, path string, body, answer any) error {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("the entry did not answer: %w; remedy: check --operator and that the entry runs", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("the answer broke off: %w; remedy: look at the history before you send a change again", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return refused(response.StatusCode, data)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(data, answer)
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	request, err := httpapi.NewRequest(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	if c.credential != "" {
		request.Header.Set("Authorization", "Bearer "+c.credential)
	}
	return request, nil
}

func refused(status int, data []byte) error {
	var body operator.ProblemBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		return body.Error
	}
	return fmt.Errorf("the entry answered status %d; remedy: check that --operator is an operators' address", status)
}
