package administrator

import (
	"context"
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/validator"
)

// bodyFileName is the file name by which faults refer to the request body.
const bodyFileName = "body"

func (a *Administrator) handleApply(ctx *fasthttp.RequestCtx) (any, error) {
	base, err := baseGeneration(ctx)
	if err != nil {
		return nil, err
	}
	set, err := a.decodeAndValidate(ctx)
	if err != nil {
		return nil, err
	}
	if err := a.checkMoveNames(set); err != nil {
		return nil, err
	}
	// The context of a request is cancelled when the server shuts down. A graceful shutdown waits for a running apply, which must
	// therefore not be cancelled.
	r, err := a.opts.Publisher.Apply(context.Background(), set, base)
	if err != nil {
		a.log.Warn().Err(err).Msg("Publishing a configuration set failed.")
		return nil, err
	}
	return ApplyResponse{
		Generation: r.Generation,
		Unchanged:  r.Unchanged,
		Objects:    r.ChangedObjects,
	}, nil
}

// checkMoveNames rejects new moves whose names already have a recorded outcome, because that outcome would end them as soon as they
// start. The error is an *invalidSetError, or has the code NotAccepted when the platform does not answer.
func (a *Administrator) checkMoveNames(set parser.Set) error {
	installed := a.opts.Board.Config.Read().Moves
	var faults []Fault
	for _, o := range set {
		m, ok := o.(parser.Move)
		if !ok || parser.Equal(m, installed[m.Application]) {
			continue
		}
		err := a.readRecordedOutcome(&Move{
			Name: m.Name,
		})
		switch {
		case err == nil:
			faults = append(faults, Fault{
				Object:  parser.Key(m),
				Field:   "Name",
				Message: "a move with this name has already ended; choose another name for the new move",
			})
		case !errors.Is(err, storeclient.ErrNotFound):
			return classifier.Errorf(classifier.NotAccepted, "reading the status of move %s from the platform failed: %w", m.Name, err)
		}
	}
	if len(faults) > 0 {
		return &invalidSetError{
			faults: faults,
		}
	}
	return nil
}

func baseGeneration(ctx *fasthttp.RequestCtx) (uint64, error) {
	text := string(ctx.QueryArgs().Peek("Base"))
	if text == "" {
		return 0, nil
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil || base == 0 {
		return 0, classifier.Errorf(classifier.BadRequest, "Base is %.64q; expected a generation number, an integer from 1", text)
	}
	return base, nil
}

func (a *Administrator) handleValidate(ctx *fasthttp.RequestCtx) (any, error) {
	set, err := a.decodeAndValidate(ctx)
	if err != nil {
		return nil, err
	}
	// EncodeParts checks the size limits; Publisher.Apply calls it before it publishes a set.
	if _, err := publisher.EncodeParts(set); err != nil {
		return nil, err
	}
	return ValidateResponse{
		Objects: len(set),
	}, nil
}

// decodeAndValidate decodes the set in the request body and validates it against the installed configuration. For a set with
// faults, the error is an *invalidSetError that lists all of them.
func (a *Administrator) decodeAndValidate(ctx *fasthttp.RequestCtx) (parser.Set, error) {
	body, err := readBody(ctx)
	if err != nil {
		return nil, err
	}
	a.setSlots <- struct{}{}
	defer func() { <-a.setSlots }()
	set, err := parser.Decode(bodyFileName, body)
	var decodeErr *parser.DecodeError
	if errors.As(err, &decodeErr) {
		return nil, &invalidSetError{
			faults: decodeFaults(decodeErr.Faults),
		}
	}
	if err != nil {
		return nil, err
	}
	if len(set) == 0 {
		return nil, classifier.Errorf(classifier.BadRequest, "the body contains no objects")
	}
	installed := a.opts.Board.Config.Read().Set
	if faults := validator.CheckUpdate(set, installed, a.opts.Timer.Now()); len(faults) > 0 {
		return nil, &invalidSetError{
			faults: validationFaults(faults),
		}
	}
	return set, nil
}

func decodeFaults(faults []parser.Fault) []Fault {
	list := make([]Fault, 0, len(faults))
	for _, f := range faults {
		list = append(list, Fault{
			File:    f.File,
			Line:    f.Line,
			Field:   f.Field,
			Message: f.Message,
		})
	}
	return list
}

func validationFaults(faults []validator.Fault) []Fault {
	list := make([]Fault, 0, len(faults))
	for _, f := range faults {
		list = append(list, Fault{
			Object:  f.Kind + "/" + f.Name,
			Field:   f.Field,
			Message: f.Message,
		})
	}
	return list
}
