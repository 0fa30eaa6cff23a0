package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	name    string
	front   string
	ready   string
	control string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// Ports below the ephemeral range are not taken by outgoing connections.
const (
	minPort = 10000
	maxPort = 32000
)

func freeAddress() (string, error) {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", fmt.Errorf("no free port found")
}

// The bounds are those of the site oso-perdido.
const settings = `
node-name = %q
role = "gateway"
machine-class = "frontend"
serves = ["frontend", "control_plane"]
ip-address = "127.0.0.1"
zone = %q
region = %q
seed-nodes = [%q]
bootstrap = true
discovery = "platform"
heartbeat-interval-ms = 1200
[zones]
litoral-a = "litoral"
capital-a = "capital"
este-a = "este"
[listen-addresses]
frontend-address = %q
ready = %q
control-plane = %q
[limits]
memory-mb = 284
file-descriptors = 4100
[bounds]
stability-window-ms = 4000
drain-timeout-ms = 3000
grace-period-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra-retries = 54
exposure-share = 0.1
exposure-tolerance = 50
[platform]
address = %q
form = "objects"
`

var regions = map[string]string{
	"litoral-a": "litoral",
	"capital-a": "capital",
	"este-a":    "este",
}

// newGateway reserves the addresses of a gateway.
func newGateway(name string) (*gateway, error) {
	g := &gateway{
		name: name,
	}
	for _, a := range []*string{&g.front, &g.ready, &g.control} {
		addr, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = addr
	}
	return g, nil
}

// start starts the process. Its settings and its output are in dir.
func (g *gateway) start(binary, dir, zone, seed, storeAddress string) error {
	path := filepath.Join(dir, g.name+".toml")
	text := fmt.Sprintf(settings, g.name, zone, regions[zone], seed, g.front, g.ready, g.control, storeAddress)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(dir, g.name+".log"))
	if err != nil {
		return err
	}
	g.cmd = exec.Command(binary, "gateway")
	g.cmd.Env = append(os.Environ(), "ANVILDYKE_NODE_FILE="+path)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go g.wait(out)
	return nil
}

func (g *gateway) wait(out *os.File) {
	_ = g.cmd.Wait()
	_ = out.Close()
	close(g.exited)
}

// kill ends the process if it runs.
func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// answersReady asks the process whether it is ready, as the platform does.
func (g *gateway) answersReady() bool {
	c := http.Client{
		Timeout: time.Second,
	}
	resp, err := c.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.answersReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, limit)
}
