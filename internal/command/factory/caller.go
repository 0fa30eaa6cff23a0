package factory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/anvildyke/anvildyke/internal/classifier"
)

// Target identifies the route to which a request to the callers' API is sent.
type Target struct {
	Application string
	Route       string
}

// CallerResponse contains the HTTP status and the undecoded body of a response of the callers' API.
type CallerResponse struct {
	Status int
	Body   []byte
}

// Result contains the fields that all responses of the callers' API have in common.
type Result struct {
	RequestID string
	Code      classifier.Code
	CodeName  string
	Message   string
}

// WriteRows writes the request ID and the result code as rows of a table for Print.
func (r Result) WriteRows(w io.Writer) {
	_, _ = fmt.Fprintf(w, "REQUEST\t%s\nRESULT\t%s (code %d)\n", r.RequestID, r.CodeName, r.Code)
}

// Check returns nil if the result code means that the request was answered, and otherwise an error that begins with prefix.
func (r Result) Check(prefix string) error {
	if r.Code.Answered() {
		return nil
	}
	return fmt.Errorf("%s: %s (code %d, %s)", prefix, r.Message, r.Code, r.CodeName)
}

// SendCallerRequest sends a request to the callers' API. The parameter collection is the path segment after the API version, for
// example "search". A response with any HTTP status is returned without an error.
func (f *Factory) SendCallerRequest(ctx context.Context, collection string, t Target, header http.Header, body []byte) (CallerResponse, error) {
	rawURL := fmt.Sprintf("http://%s/v1/%s/%s/%s", f.CallerAddress, collection, url.PathEscape(t.Application), url.PathEscape(t.Route))
	status, respBody, err := f.Do(ctx, http.MethodPost, rawURL, header, body)
	if err != nil {
		return CallerResponse{}, err
	}
	return CallerResponse{
		Status: status,
		Body:   respBody,
	}, nil
}

// PrintCallerResponse decodes the body of r into response and prints it with Print. JSON output is the body as received.
func (f *Factory) PrintCallerResponse(r CallerResponse, response any, writeTable func(w io.Writer)) error {
	if err := json.Unmarshal(r.Body, response); err != nil {
		return fmt.Errorf("the response with HTTP status %d cannot be decoded: %w", r.Status, err)
	}
	return f.Print(json.RawMessage(r.Body), writeTable)
}
