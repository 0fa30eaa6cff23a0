package factory

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/classifier"
)

// SetFile is the name of the file with a whole set of configuration objects, or "-" for the input stream.
type SetFile string

// RegisterFlag adds the flag for the file.
func (s *SetFile) RegisterFlag(fs *flag.FlagSet) {
	fs.StringVar((*string)(s), "f", "", "file with the whole set in YAML or JSON; - reads the input stream")
}

// Check reports a missing flag.
func (s *SetFile) Check() error {
	if *s == "" {
		return Usagef("the flag -f is missing")
	}
	return nil
}

// SendSet sends a set to the operators' API and decodes the answer into message. It prints the faults of a refused set.
func (f *Factory) SendSet(ctx context.Context, path string, file SetFile, query url.Values, message any) error {
	body, err := f.ReadFile(string(file))
	if err != nil {
		return err
	}
	if err := f.SendOperatorRequest(ctx, http.MethodPost, path, query, body, message); err != nil {
		return f.refused(string(file), err)
	}
	return nil
}

// refused prints the faults of a set that the server has refused and returns the error for the exit code. Other errors are
// returned as they are. The server calls the file "body"; the faults name it as the user did.
func (f *Factory) refused(file string, err error) error {
	var failure *ResponseError
	if !errors.As(err, &failure) || failure.Response.Code != classifier.InvalidSet {
		return err
	}
	for i := range failure.Response.Faults {
		if failure.Response.Faults[i].File != "" {
			failure.Response.Faults[i].File = file
		}
	}
	printErr := f.Print(failure.Response, func(w io.Writer) {
		for _, fault := range failure.Response.Faults {
			_, _ = fmt.Fprintln(w, faultLine(fault))
		}
	})
	return &ExitError{
		Code: ExitInvalidSet,
		Err:  errors.Join(err, printErr),
	}
}

func faultLine(f administrator.Fault) string {
	place := f.Object
	if f.File != "" {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Field != "" {
		place += "\t" + f.Field
	} else {
		place += "\t-"
	}
	return place + "\t" + f.Message
}
