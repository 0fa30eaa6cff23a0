package claimer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/google/uuid"
)

// State describes what is known about the execution of a claimed operation.
type State string

const (
	// StateOpen means that the operation may be running or that its outcome has not been recorded.
	StateOpen State = "Open"
	// StateDone means that a backend server ran the operation and returned a definite result.
	StateDone State = "Done"
	// StateNotRun means that no backend server ran the operation, so that it may be claimed again.
	StateNotRun State = "NotRun"
	// StateUnknown means that it could not be determined whether the operation ran.
	StateUnknown State = "Unknown"
)

// Claim is the stored value of a claim object on the platform.
type Claim struct {
	// Token identifies the attempt that may send the operation.
	Token string
	// Fingerprint identifies the request that the operation ID was used for.
	Fingerprint string
	State       State
	Code        classifier.Code
	// Body is the response of the backend server. It is omitted if it is larger than MaxRecordedBodyBytes.
	Body []byte `json:",omitempty"`
}

// heldClaim is a claim that this process created or replaced, with the version of its object on the platform.
type heldClaim struct {
	object storeclient.Object
	claim  Claim
}

// acquireClaim creates the claim of an operation, or replaces one in StateNotRun. If it cannot acquire the claim, it returns the
// outcome to report to the caller instead.
func (c *Claimer) acquireClaim(ctx context.Context, id, fingerprint string) (*heldClaim, *Outcome) {
	h := &heldClaim{
		object: storeclient.Object{
			Kind: ObjectKind,
			Name: id,
		},
		claim: Claim{
			Token:       uuid.NewString(),
			Fingerprint: fingerprint,
			State:       StateOpen,
		},
	}
	stored, err := c.opts.Store.Create(ctx, h.encode())
	if err == nil {
		h.object.Version = stored.Version
		return h, nil
	}
	exists := errors.Is(err, storeclient.ErrExists)
	current, existing, err := c.readClaim(ctx, h)
	switch {
	case err == nil && current.Token == h.claim.Token:
		h.object.Version = existing.Version
		return h, nil
	case err == nil:
		return c.reacquireClaim(ctx, h, current, existing)
	case exists:
		// Another attempt holds the claim, and its outcome cannot be read at the moment.
		return nil, unknownOutcome()
	default:
		return nil, unavailableOutcome()
	}
}

// reacquireClaim replaces an existing claim in StateNotRun. For a claim in any other state it returns the recorded outcome, and
// for a claim of another request BadOperationID.
func (c *Claimer) reacquireClaim(ctx context.Context, h *heldClaim, current Claim, object storeclient.Object) (*heldClaim, *Outcome) {
	if current.Fingerprint != h.claim.Fingerprint {
		return nil, &Outcome{
			Code:    classifier.BadOperationID,
			Message: "The operation ID has been used for another request.",
		}
	}
	if current.State != StateNotRun {
		return nil, recordedOutcome(current)
	}
	h.object.Version = object.Version
	stored, err := c.opts.Store.Update(ctx, h.encode())
	if err == nil {
		h.object.Version = stored.Version
		return h, nil
	}
	if errors.Is(err, storeclient.ErrConflict) || errors.Is(err, storeclient.ErrNotFound) {
		return nil, unknownOutcome()
	}
	current, object, err = c.readClaim(ctx, h)
	switch {
	case err == nil && current.Token == h.claim.Token:
		h.object.Version = object.Version
		return h, nil
	case err == nil && current.State != StateNotRun:
		return nil, recordedOutcome(current)
	default:
		return nil, unavailableOutcome()
	}
}

func (c *Claimer) readClaim(ctx context.Context, h *heldClaim) (Claim, storeclient.Object, error) {
	o, err := c.opts.Store.Get(ctx, ObjectKind, h.object.Name)
	if err != nil {
		return Claim{}, o, err
	}
	var current Claim
	err = json.Unmarshal(o.Value, &current)
	return current, o, err
}

func (h *heldClaim) encode() storeclient.Object {
	// Marshal cannot fail: every field of Claim has a type that JSON can represent.
	h.object.Value, _ = json.Marshal(h.claim)
	return h.object
}

// recordedOutcome returns the outcome stored in a claim, which is unknown unless the state is StateDone.
func recordedOutcome(cl Claim) *Outcome {
	if cl.State == StateDone {
		return &Outcome{
			Code: cl.Code,
			Body: cl.Body,
		}
	}
	return unknownOutcome()
}

func unknownOutcome() *Outcome {
	return &Outcome{
		Code: classifier.OutcomeUnknown,
	}
}

func unavailableOutcome() *Outcome {
	return &Outcome{
		Code: classifier.PlatformUnavailable,
	}
}

// recordOutcome writes the outcome to the claim. It returns when the write has finished or ctx is done; in the latter case the
// write continues in the background. With more than maxBackgroundRecords writes in progress, it always waits for the write.
func (c *Claimer) recordOutcome(ctx context.Context, h *heldClaim, o Outcome) {
	switch {
	case o.Code == classifier.OK || o.Code == classifier.BackendFailed:
		h.claim.State = StateDone
	case o.Code.NotRun():
		h.claim.State = StateNotRun
	default:
		h.claim.State = StateUnknown
	}
	h.claim.Code = o.Code
	if len(o.Body) <= MaxRecordedBodyBytes {
		h.claim.Body = o.Body
	}
	done := make(chan struct{})
	tooMany := c.recording.Add(1) > maxBackgroundRecords
	go func() {
		defer close(done)
		defer c.recording.Add(-1)
		c.writeOutcome(context.WithoutCancel(ctx), h)
	}()
	if tooMany {
		<-done
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// writeOutcome stores the outcome, with at most maxRecordAttempts attempts. If all of them fail, the claim stays open, and
// resends of the operation are answered with an unknown outcome, which is safe.
func (c *Claimer) writeOutcome(ctx context.Context, h *heldClaim) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	object := h.encode()
	for attempt := range maxRecordAttempts {
		_, err := c.opts.Store.Update(ctx, object)
		if err == nil {
			return
		}
		if errors.Is(err, storeclient.ErrConflict) || errors.Is(err, storeclient.ErrNotFound) {
			// Either an earlier attempt took effect or the claim was deleted.
			return
		}
		wait := c.opts.Timer.After(recordBackoff << attempt)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
	}
	c.opts.Recorder.Record("claimer", "OutcomeNotRecorded", h.object.Name, string(h.claim.State))
}
