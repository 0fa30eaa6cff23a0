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

// Target is the destination of a request to the callers' API.
type Target struct {
	Application string
	Route       string
}

// CallerResponse is the HTTP status and the body of an answer of the callers' API.
type CallerResponse struct {
	Status int
	Body   []byte
}

// Result is the part that all answers of the callers' API have.
type Result struct {
	RequestID string
	Code      classifier.Code
	CodeName  string
	Message   string
}

// WriteRows writes the result as rows of a table.
func (r Result) WriteRows(w io.Writer) {
	_, _ = fmt.Fprintf(w, "REQUEST\t%s\nRESULT\t%s (code %d)\n", r.RequestID, r.CodeName, r.Code)
}

// Check returns an error that begins with failure unless the request was answered.
func (r Result) Check(failure string) error {
	if r.Code.Answered() {
		return nil
	}
	return fmt.Errorf("%s: %s (code %d, %s)", failure, r.Message, r.Code, r.CodeName)
}

// SendCallerRequest sends a request to the callers' API. Collection is the first part of the path, for example "search".
func (f *Factory) SendCallerRequest(ctx context.Context, collection string, t Target, header http.Header, body []byte) (CallerResponse, error) {
	address := fmt.Sprintf("http://%s/v1/%s/%s/%s", f.CallerAddress, collection, url.PathEscape(t.Application), url.PathEscape(t.Route))
	status, answer, err := f.Do(ctx, http.MethodPost, address, header, body)
	if err != nil {
		return CallerResponse{}, err
	}
	return CallerResponse{
		Status: status,
		Body:   answer,
	}, nil
}

// PrintCallerResponse decodes a reply into message and writes it as JSON, or as a table.
func (f *Factory) PrintCallerResponse(r CallerResponse, message any, table func(w io.Writer)) error {
	if err := json.Unmarshal(r.Body, message); err != nil {
		return fmt.Errorf("the answer with status %d cannot be read: %w", r.Status, err)
	}
	return f.Print(json.RawMessage(r.Body), table)
}
