// Package budgeter implements the retry budgets of the gateway. It limits the retries and hedges for each service by the number
// of first attempts in a sliding window, plus this VM's share of an allowance for all VMs.
package budgeter

import (
	"sync"
	"time"
)

const (
	// windowSteps is the number of steps in a window. The counts cover the current, incomplete step and the windowSteps steps before
	// it, which is at least a full window.
	windowSteps  = 20
	countedSteps = windowSteps + 1
	// The usable fractions of the budget. The rest allows for clock differences between VMs, for requests that arrive in a later window
	// than the one in which they were sent, and for shares that move: when the load moves to another VM, both may use parts of the
	// fixed allowance in the same window, up to 1.5 times the whole. Hedges may use less than retries.
	hedgeRatioFactor = 0.6
	hedgeFixedFactor = 0.6
	retryRatioFactor = 0.8
	retryFixedFactor = 0.65
	// startFixedFactor replaces the factors of the fixed allowance for a window after the start of the process, because an earlier
	// process of this VM, or other VMs on its behalf, may have used the allowance of that window. Two starts in a window stay
	// below the whole allowance.
	startFixedFactor = 0.15
	// shareLifetime is how long a share remains valid without an update. It spans several messages between VMs.
	shareLifetime = 3 * time.Second
)

// Purpose is the reason for an extra attempt.
type Purpose int

// Purposes of extra attempts.
const (
	// Hedge duplicates an attempt that is still running.
	Hedge Purpose = iota
	// Retry follows a failed attempt.
	Retry
)

// Config contains the limits that apply to the budget of every service.
type Config struct {
	Window time.Duration
	// Ratio is the number of extra attempts allowed per first attempt.
	Ratio float64
	// FixedAllowance is the additional number of extra attempts per window that is shared by all VMs.
	FixedAllowance float64
}

// Budgeter maintains a budget for each service. Its methods are safe for concurrent use.
type Budgeter struct {
	mu  sync.Mutex
	cfg Config
	// vms is the number of VMs that share FixedAllowance, at least 1.
	vms int
	// share is this VM's fraction of FixedAllowance according to its load. It is valid until shareUntil; afterwards all VMs have
	// equal shares.
	share      float64
	shareUntil time.Time
	// shares contains the share at the end of each step of the current window. firstStep and lastStep are the numbers of the first step
	// since the start and of the latest one, 0 before the first use.
	shares    [countedSteps]float64
	firstStep int64
	lastStep  int64
	services  map[string]*slidingWindow
}

// slidingWindow counts the attempts for a service in each step of the current window.
type slidingWindow struct {
	// lastStep is the number of the latest step, lastAttempt that of the latest step with an extra attempt.
	lastStep      int64
	lastAttempt   int64
	firstAttempts [countedSteps]int
	extraAttempts [countedSteps]int
}

// New returns a Budgeter for one of vms VMs. In the first window it allows only a part of the fixed allowance.
func New(cfg Config, vms int) *Budgeter {
	return &Budgeter{
		cfg:      cfg,
		vms:      max(vms, 1),
		services: map[string]*slidingWindow{},
	}
}

// SetVMCount sets the number of VMs that share FixedAllowance.
func (b *Budgeter) SetVMCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

// SetShare sets this VM's fraction of FixedAllowance, 0 to 1. It expires after shareLifetime. For retries, changes take effect
// gradually over a window: until then other VMs may have used the difference.
func (b *Budgeter) SetShare(share float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordShare(now)
	b.share = share
	b.shareUntil = now.Add(shareLifetime)
}

// currentShare returns this VM's fraction of FixedAllowance.
func (b *Budgeter) currentShare(now time.Time) float64 {
	if now.Before(b.shareUntil) {
		return b.share
	}
	return 1 / float64(b.vms)
}

// recordShare records the share in force in the step of now and in the steps since the last call.
func (b *Budgeter) recordShare(now time.Time) {
	share := b.currentShare(now)
	step := b.step(now)
	if b.firstStep == 0 {
		b.firstStep, b.lastStep = step, step-1
	}
	for i := max(b.lastStep+1, step-windowSteps); i <= step; i++ {
		b.shares[i%countedSteps] = share
	}
	b.lastStep = max(b.lastStep, step)
	b.shares[b.lastStep%countedSteps] = share
}

// usableShare returns the fraction of FixedAllowance that may be used by attempts for the given purpose. Retries use the average share
// over the last window. Hedges use the current share, because the VM that has the requests at this moment needs them; if the load
// moves to another VM, the part of the ratio that hedges leave covers what both use.
func (b *Budgeter) usableShare(p Purpose, now time.Time) float64 {
	b.recordShare(now)
	switch {
	case b.lastStep-b.firstStep < windowSteps:
		return startFixedFactor * b.currentShare(now)
	case p == Hedge:
		return hedgeFixedFactor * b.currentShare(now)
	}
	total := 0.0
	for _, share := range b.shares {
		total += share
	}
	return retryFixedFactor * total / countedSteps
}

// step returns the number of the step that contains a time.
func (b *Budgeter) step(now time.Time) int64 {
	return now.UnixNano() / int64(b.cfg.Window/windowSteps)
}

// FirstAttempts returns the number of first attempts in the current window over all services.
func (b *Budgeter) FirstAttempts(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for name := range b.services {
		for _, n := range b.window(name, now).firstAttempts {
			total += n
		}
	}
	return float64(total)
}

// SetConfig replaces the limits. A change of the window length discards all counts.
func (b *Budgeter) SetConfig(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg.Window != b.cfg.Window {
		b.services = map[string]*slidingWindow{}
		b.firstStep = 0
	}
	b.cfg = cfg
}

// RecordFirstAttempt counts a first attempt, which raises the number of extra attempts that Allow permits in the window.
func (b *Budgeter) RecordFirstAttempt(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.firstAttempts[w.lastStep%countedSteps]++
}

// Allow reports whether the budget allows an extra attempt, and counts the attempt if so.
func (b *Budgeter) Allow(service string, p Purpose, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	spent, allowed := b.usage(w, p, now)
	if spent+1 > allowed {
		return false
	}
	w.extraAttempts[w.lastStep%countedSteps]++
	w.lastAttempt = w.lastStep
	return true
}

// usage returns the number of extra attempts in the window and the number that is allowed, retries included, before an attempt for the
// given purpose is denied.
func (b *Budgeter) usage(w *slidingWindow, p Purpose, now time.Time) (spent, allowed float64) {
	firstAttempts, extraAttempts := 0, 0
	for i := range countedSteps {
		firstAttempts += w.firstAttempts[i]
		extraAttempts += w.extraAttempts[i]
	}
	ratioFactor := retryRatioFactor
	if p == Hedge {
		ratioFactor = hedgeRatioFactor
	}
	return float64(extraAttempts), ratioFactor*b.cfg.Ratio*float64(firstAttempts) + b.cfg.FixedAllowance*b.usableShare(p, now)
}

// Usage returns the number of extra attempts of this VM for a service in the current window and the number that is allowed.
func (b *Budgeter) Usage(service string, now time.Time) (spent, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(b.window(service, now), Retry, now)
}

// window returns the window of a service, advanced to now.
func (b *Budgeter) window(service string, now time.Time) *slidingWindow {
	step := b.step(now)
	w, ok := b.services[service]
	if !ok {
		w = &slidingWindow{
			lastStep: step,
		}
		b.services[service] = w
	}
	for i := max(w.lastStep+1, step-windowSteps); i <= step; i++ {
		w.firstAttempts[i%countedSteps] = 0
		w.extraAttempts[i%countedSteps] = 0
	}
	w.lastStep = max(w.lastStep, step)
	return w
}

// Retain removes the budgets of services for which keep returns false, once they have had no attempt for a window: a service may
// return with the next configuration.
func (b *Budgeter) Retain(keep func(service string) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, w := range b.services {
		if !keep(name) && b.step(now)-w.lastAttempt > windowSteps {
			delete(b.services, name)
		}
	}
}
