package launcher

import (
	"bufio"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// startTimeout limits the wait for the ready line of a stand-in and for the liveness probes of the VMs.
const startTimeout = 20 * time.Second

// Process is a process started by the launcher.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
	// err is the result of waiting for the process; it is valid once done is closed.
	err error
	log *os.File
}

// startProcess starts a program and appends its standard error to the log file of that name in dir. Unless onLine is nil, it
// waits for the first line of standard output, at most startTimeout, and passes it to onLine.
func startProcess(dir, name, program string, args []string, onLine func(line string) error) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("opening the log file: %w", err)
	}
	p := &Process{
		Name: name,
		cmd:  exec.Command(program, args...),
		done: make(chan struct{}),
		log:  log,
	}
	p.cmd.Stderr = log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("creating the output pipe of %s: %w", name, err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	firstLine := make(chan string, 1)
	r := &outputReader{
		process:   p,
		scanner:   bufio.NewScanner(out),
		firstLine: firstLine,
	}
	go r.run()
	if onLine == nil {
		return p, nil
	}
	select {
	case line := <-firstLine:
		return p, onLine(line)
	case <-p.done:
		return nil, fmt.Errorf("%s exited during startup; see %s", name, log.Name())
	case <-time.After(startTimeout):
		p.Kill()
		return nil, fmt.Errorf("%s printed no ready line before the start timeout", name)
	}
}

// outputReader reads the standard output of a process until its end, so that the process never blocks on a full pipe, and then
// waits for the process.
type outputReader struct {
	process   *Process
	scanner   *bufio.Scanner
	firstLine chan string
}

func (r *outputReader) run() {
	for r.scanner.Scan() {
		select {
		case r.firstLine <- r.scanner.Text():
		default:
		}
	}
	r.process.err = r.process.cmd.Wait()
	_ = r.process.log.Close()
	close(r.process.done)
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. It returns an error if the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s has exited", p.Name)
	}
	return p.cmd.Process.Signal(s)
}

// Pause suspends the process until Resume, which simulates a paused VM.
func (p *Process) Pause() error {
	return p.Signal(syscall.SIGSTOP)
}

// Resume continues a suspended process.
func (p *Process) Resume() error {
	return p.Signal(syscall.SIGCONT)
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	if p.Running() {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// Terminate requests a graceful shutdown of the process and returns its exit code, or an error if it does not exit within
// timeout.
func (p *Process) Terminate(timeout time.Duration) (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return p.ExitCode(), nil
	}
	select {
	case <-p.done:
		return p.ExitCode(), nil
	case <-time.After(timeout):
		return -1, fmt.Errorf("%s did not exit within %s", p.Name, timeout)
	}
}

// ExitCode returns the exit code of the process, or -1 if it is still running or was killed by a signal.
func (p *Process) ExitCode() int {
	if p.Running() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// parseAddresses returns the addresses in the fields "Name=ip:port" of a ready line, by name.
func parseAddresses(line string) (map[string]netip.AddrPort, error) {
	addresses := map[string]netip.AddrPort{}
	for _, field := range strings.Fields(line) {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			continue
		}
		a, err := netip.ParseAddrPort(value)
		if err != nil {
			return nil, fmt.Errorf("parsing the ready line %q: %w", line, err)
		}
		addresses[name] = a
	}
	if len(addresses) == 0 {
		return nil, errors.New("the ready line contains no address")
	}
	return addresses, nil
}
