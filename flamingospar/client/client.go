// Package client calls the operator API of an entry for the command line.
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

// maxResponseBytes bounds the size of a response body.
const maxResponseBytes = 64 << 20

// Client calls the operator API of one entry.
type Client struct {
	baseURL    string
	credential string
	httpClient *http.Client
}

// New returns a client of the operator API at baseURL, for example
// "http://10.0.0.1:8081".
func New(baseURL, credential string, httpClient *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), credential: credential, httpClient: httpClient}
}

// Call sends body as JSON and decodes the response into out; both may be nil. An
// error response of the entry is returned as *operator.Problem.
func (c *Client) Call(ctx context.Context, method, path string, body, out any) error {
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return fmt.Errorf("no response from the entry: %w; remedy: check --operator and that the entry runs", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("the response is incomplete: %w; remedy: check the history before you send a change again", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return responseError(response.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	request, err := httpapi.NewRequest(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, err
	}
	if c.credential != "" {
		request.Header.Set("Authorization", "Bearer "+c.credential)
	}
	return request, nil
}

func responseError(status int, data []byte) error {
	var body operator.ProblemBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		return body.Error
	}
	return fmt.Errorf("the entry returned status %d; remedy: check that --operator is an operator API address", status)
}
