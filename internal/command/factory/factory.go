// Package factory provides the commands with their input and output streams, common flags and HTTP client, and contains the code
// that several of them share.
package factory

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/framer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// Exit codes of the command line.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = configurer.InvalidSettingsExitCode
	// ExitInvalidSet reports faults in a set of configuration objects or in the settings file of a gateway.
	ExitInvalidSet = 3
	// ExitRolledBack and ExitOutcomeUnknown are returned only by "move watch".
	ExitRolledBack     = 4
	ExitOutcomeUnknown = 5
)

const (
	// OperatorTimeout limits a request to the operators' API. It exceeds the 10 s to which the server limits an apply.
	OperatorTimeout = 30 * time.Second
	// maxResponseBytes is the maximum number of bytes that are read of a response body.
	maxResponseBytes = 64 << 20
)

// ExitError is an error with the exit code that the program returns for it.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of Err.
func (e *ExitError) Error() string {
	return e.Err.Error()
}

// Unwrap returns Err for errors.Is and errors.As.
func (e *ExitError) Unwrap() error {
	return e.Err
}

// Usagef returns an *ExitError with the code ExitUsage for an invalid command line.
func Usagef(format string, args ...any) error {
	return &ExitError{
		Code: ExitUsage,
		Err:  fmt.Errorf(format, args...),
	}
}

// ResponseError is an error response of the operators' API.
type ResponseError struct {
	Response administrator.ErrorResponse
}

// Error returns the server's message with the number and name of the result code.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s (code %d, %s)", e.Response.Message, e.Response.Code, e.Response.Name)
}

// Factory contains the dependencies and the common flags of all commands.
type Factory struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Client *http.Client
	Timer  *timer.Service

	// OperatorAddress and CallerAddress are the IP addresses and ports of an entry VM's listeners for operators and callers. For
	// "gateway status", OperatorAddress is the address of the gateway's health probes and metrics.
	OperatorAddress string
	CallerAddress   string
	// JSON selects JSON output instead of tables.
	JSON bool
}

// New returns a Factory with the default addresses, the wall clock and table output.
func New(stdin io.Reader, stdout, stderr io.Writer) *Factory {
	return &Factory{
		In:              stdin,
		Out:             stdout,
		Err:             stderr,
		Client:          newClient(),
		Timer:           timer.NewWall(),
		OperatorAddress: "127.0.0.1:7200",
		CallerAddress:   "127.0.0.1:7100",
	}
}

// newClient returns an HTTP client that fails on malformed responses.
func newClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return framer.New(c), nil
	}
	return &http.Client{
		Transport: transport,
	}
}

// FlagSet returns a flag set with the common flags. Every command has them, so that they are accepted before and after its name.
func (f *Factory) FlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(f.Err)
	fs.StringVar(&f.OperatorAddress, "operator", f.OperatorAddress, "address of an entry VM's listener for operators")
	fs.StringVar(&f.CallerAddress, "caller", f.CallerAddress, "address of an entry VM's listener for callers")
	fs.BoolVar(&f.JSON, "json", f.JSON, "write JSON instead of tables")
	return fs
}

// ParseArguments parses the flags in args into fs and returns the positional arguments. Flags may occur before, between and after
// them. The expected arguments are listed in names; a name in brackets stands for an optional argument.
func (f *Factory) ParseArguments(fs *flag.FlagSet, args []string, names ...string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		if len(args[0]) > 1 && args[0][0] == '-' {
			if err := fs.Parse(args); err != nil {
				return nil, usageError(err)
			}
			args = fs.Args()
			continue
		}
		positional = append(positional, args[0])
		args = args[1:]
	}
	minArgs := 0
	for _, name := range names {
		if name[0] != '[' {
			minArgs++
		}
	}
	if len(positional) < minArgs || len(positional) > len(names) {
		return nil, Usagef("%s does not accept %d arguments; expected: %s", fs.Name(), len(positional), cmp.Or(strings.Join(names, " "), "none"))
	}
	return positional, f.checkAddresses()
}

// usageError wraps an error of flag.FlagSet.Parse. It does not wrap flag.ErrHelp, which is not a failure.
func usageError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return Usagef("%w", err)
}

// checkAddresses returns an error that lists all invalid addresses, or nil.
func (f *Factory) checkAddresses() error {
	err := errors.Join(checkAddress("operator", f.OperatorAddress), checkAddress("caller", f.CallerAddress))
	if err != nil {
		return Usagef("%w", err)
	}
	return nil
}

func checkAddress(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("the setting -%s (%s_%s) is %q; accepted: an IP address and a port, for example 127.0.0.1:7000",
			name, configurer.CLIEnvPrefix, strings.ToUpper(name), value)
	}
	return nil
}

// ReadFile returns the content of the named file, or of In for "-".
func (f *Factory) ReadFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(f.In)
	}
	return os.ReadFile(name)
}

// SendOperatorRequest sends a request to the operators' API and decodes the body into response. The error is a *ResponseError if
// the server returns a status other than 200 with an ErrorResponse.
func (f *Factory) SendOperatorRequest(ctx context.Context, method, path string, query url.Values, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, OperatorTimeout)
	defer cancel()
	u := url.URL{
		Scheme:   "http",
		Host:     f.OperatorAddress,
		Path:     path,
		RawQuery: query.Encode(),
	}
	status, respBody, err := f.Do(ctx, method, u.String(), nil, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		respErr := &ResponseError{}
		if err := json.Unmarshal(respBody, &respErr.Response); err != nil {
			return fmt.Errorf("the server returned HTTP status %d without a valid error message", status)
		}
		return respErr
	}
	if err := json.Unmarshal(respBody, response); err != nil {
		return fmt.Errorf("the response of the server cannot be decoded: %w", err)
	}
	return nil
}

// Do sends an HTTP request and returns the status and up to maxResponseBytes of the body of the response.
func (f *Factory) Do(ctx context.Context, method, rawURL string, header http.Header, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, rawURL, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for key, values := range header {
		req.Header[key] = values
	}
	resp, err := f.Client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, respBody, err
}

// Print writes v to Out as JSON if JSON is set, and otherwise calls writeTable, whose tab-separated columns it aligns.
func (f *Factory) Print(v any, writeTable func(w io.Writer)) error {
	if f.JSON {
		return json.NewEncoder(f.Out).Encode(v)
	}
	w := tabwriter.NewWriter(f.Out, 0, 8, 2, ' ', 0)
	writeTable(w)
	return w.Flush()
}
