package validator

import (
	"fmt"
	"time"

	"github.com/anvildyke/anvildyke/internal/parser"
)

func (c *checker) checkMove(o parser.Move) {
	checkReference[parser.Application](c, o, "Application", o.Application)
	c.checkSingle(c.moveByApplication, o, o.Application)
	c.checkVersionReference(o, "From", o.From, o.Application)
	c.checkVersionReference(o, "To", o.To, o.Application)
	if o.From == o.To && o.From != "" {
		c.addFault(o, "To", "the version is the same as in From")
	}
	c.checkVersionDeployed(o, "To", o.To)
	c.checkSteps(o)
	c.checkSchedule(o)
}

func (c *checker) checkSteps(o parser.Move) {
	last := 0
	for i, s := range o.Steps {
		if s <= last || s > 100 {
			c.addFault(o, fmt.Sprintf("Steps[%d]", i), "%d is not greater than %d and at most 100", s, last)
		}
		last = s
	}
	if last != 100 {
		c.addFault(o, "Steps", "the last step is %d, not 100", last)
	}
}

// checkSchedule checks that the time between Start and FinishBy is long enough for all steps. For a new or changed move, the time
// before now does not count.
func (c *checker) checkSchedule(o parser.Move) {
	if o.Start.IsZero() || o.FinishBy.IsZero() {
		c.addFault(o, "FinishBy", "Start or FinishBy is missing")
		return
	}
	if !o.FinishBy.After(o.Start) {
		c.addFault(o, "FinishBy", "the time is not after Start")
		return
	}
	begin := o.Start
	if old, ok := c.installed[parser.Key(o)]; !ok || !parser.Equal(old, o) {
		if !o.FinishBy.After(c.now) {
			c.addFault(o, "FinishBy", "the time is in the past")
			return
		}
		if c.now.After(begin) {
			begin = c.now
		}
	}
	need := time.Duration(len(o.Steps)) * MinStepDuration
	if remaining := o.FinishBy.Sub(begin); remaining < need {
		c.addFault(o, "FinishBy", "%d steps need at least %s, but only %s remain", len(o.Steps), need, remaining.Round(time.Millisecond))
	}
}
