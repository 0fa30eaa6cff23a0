package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// zones maps the zones of the deployment to their regions.
var zones = map[string]string{
	"randstad-a": "randstad",
	"oost-a":     "oost",
	"zuid-a":     "zuid",
}

// gateway is a process of the system, started with the command of the deploy file.
type gateway struct {
	name    string
	zone    string
	front   string
	ready   string
	control string
	cmd     *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// The ports of gateways are below those that the kernel gives to outgoing connections, which could take a port between the check and the
// start of the gateway.
const (
	firstPort = 20000
	ports     = 12000
	attempts  = 100
)

var errNoPort = errors.New("no free port was found")

// freeAddress returns a loopback address with a port that is free and not in taken, and adds it to taken.
func freeAddress(taken map[string]bool) (string, error) {
	for range attempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		l, err := net.Listen("tcp", address)
		if err != nil || taken[address] {
			if err == nil {
				_ = l.Close()
			}
			continue
		}
		taken[address] = true
		return address, l.Close()
	}
	return "", errNoPort
}

func newGateway(zone string, taken map[string]bool) (*gateway, error) {
	g := &gateway{
		name: "frontend-" + zone + "-1",
		zone: zone,
	}
	for _, a := range []*string{&g.front, &g.ready, &g.control} {
		address, err := freeAddress(taken)
		if err != nil {
			return nil, err
		}
		*a = address
	}
	return g, nil
}

const settingsFormat = `node-name = %q
role = "gateway"
machine-class = "frontend"
serves = ["frontend", "control_plane"]
ip-address = "127.0.0.1"
zone = %q
region = %q
seed-nodes = [%q]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry-point = "virtual_ip"
heartbeat-interval-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "rollout", "platform"]
[zones]
randstad-a = "randstad"
oost-a = "oost"
zuid-a = "zuid"
[listen-addresses]
frontend-address = %q
ready = %q
control-plane = %q
[limits]
cpu-fraction = 0.4
cpu-cores = 1
memory-mb = 284
file-descriptors = 4100
[fault-tolerance]
machines = 2
zones = 1
regions = 1
[bounds]
stability-window-ms = 5000
ack-timeout-ms = 6000
drain-timeout-ms = 4000
grace-period-s = 6
config-apply-ms = 4000
rollback-slack-ms = 250
max-stretch-ms = 15000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra-retries = 56
exposure-share = 0.1
exposure-tolerance = 50
rollback-ms = 5000
evacuation-ms = 5000
recovery-s = 12
[platform]
address = %q
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-retention-s = 20
max-value-bytes = 1048576
`

// start starts the process. Its settings and its log are files in dir.
func (g *gateway) start(dir, seed, store string) error {
	settings := filepath.Join(dir, g.name+".toml")
	text := fmt.Sprintf(settingsFormat, g.name, g.zone, zones[g.zone], seed, g.front, g.ready, g.control, store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, g.name+".log"))
	if err != nil {
		return err
	}
	defer func() {
		_ = log.Close()
	}()
	g.cmd = exec.Command("target/anvildyked", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "ANVILDYKE_NODE_FILE=" + settings}
	g.cmd.Stdout = log
	g.cmd.Stderr = log
	// The process ends with this one, also if this one is killed.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go g.run()
	return nil
}

func (g *gateway) run() {
	_ = g.cmd.Wait()
	close(g.ended)
}

func (g *gateway) kill() {
	if g.ended == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.ended
}

// isReady reports whether the probe is answered with 200.
func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until the gateway is ready.
func (g *gateway) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, limit)
}
