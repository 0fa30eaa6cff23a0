// Package budgeter implements the retry budgets of the gateway. It limits the retries and hedges for each service by the number
// of first attempts in a sliding window, plus this VM's share of an allowance for all VMs.
package budgeter

import (
	"sync"
	"time"
)

const (
	// windowSteps is the number of steps in a window. The counts cover the current, incomplete step and the windowSteps-1 steps
	// before it, which is up to one step less than a full window.
	windowSteps = 20
	// safetyFactor is the usable fraction of the budget. The rest allows for clock differences between VMs and for requests that
	// arrive in a later window than the one in which they were sent.
	safetyFactor = 0.8
	// hedgeShare is the fraction of the budget available to hedges, so that some of it remains for retries.
	hedgeShare = 0.75
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
	services   map[string]*slidingWindow
}

// slidingWindow counts the attempts for a service in each step of the current window.
type slidingWindow struct {
	// lastStep is the number of the latest step.
	lastStep      int64
	firstAttempts [windowSteps]int
	extraAttempts [windowSteps]int
}

// New returns a Budgeter for one of vms VMs.
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

// SetShare sets this VM's fraction of FixedAllowance, 0 to 1. It expires after shareLifetime.
func (b *Budgeter) SetShare(share float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
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
	}
	b.cfg = cfg
}

// RecordFirstAttempt counts a first attempt, which raises the number of extra attempts that Allow permits in the window.
func (b *Budgeter) RecordFirstAttempt(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.firstAttempts[w.lastStep%windowSteps]++
}

// Allow reports whether the budget allows an extra attempt, and counts the attempt if so.
func (b *Budgeter) Allow(service string, p Purpose, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	spent, allowed := b.usage(w, now)
	if p == Hedge {
		allowed *= hedgeShare
	}
	if spent+1 > allowed {
		return false
	}
	w.extraAttempts[w.lastStep%windowSteps]++
	return true
}

// usage returns the number of extra attempts in the window and the number that is allowed.
func (b *Budgeter) usage(w *slidingWindow, now time.Time) (spent, allowed float64) {
	firstAttempts, extraAttempts := 0, 0
	for i := range windowSteps {
		firstAttempts += w.firstAttempts[i]
		extraAttempts += w.extraAttempts[i]
	}
	return float64(extraAttempts), safetyFactor * (b.cfg.Ratio*float64(firstAttempts) + b.cfg.FixedAllowance*b.currentShare(now))
}

// Usage returns the number of extra attempts of this VM for a service in the current window and the number that is allowed.
func (b *Budgeter) Usage(service string, now time.Time) (spent, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(b.window(service, now), now)
}

// window returns the window of a service, advanced to now.
func (b *Budgeter) window(service string, now time.Time) *slidingWindow {
	step := now.UnixNano() / int64(b.cfg.Window/windowSteps)
	w, ok := b.services[service]
	if !ok {
		w = &slidingWindow{
			lastStep: step,
		}
		b.services[service] = w
	}
	for i := max(w.lastStep+1, step-windowSteps+1); i <= step; i++ {
		w.firstAttempts[i%windowSteps] = 0
		w.extraAttempts[i%windowSteps] = 0
	}
	w.lastStep = max(w.lastStep, step)
	return w
}

// Retain removes the budgets of services for which keep returns false.
func (b *Budgeter) Retain(keep func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.services {
		if !keep(name) {
			delete(b.services, name)
		}
	}
}
