package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// SetSwitches sets switches of a backend server, which inject faults, from a URL query such as "Frozen=true&Late=3".
func (c *Cluster) SetSwitches(b *Backend, switches string) error {
	return c.post("http://" + b.ControlAddress.String() + "/switch?" + switches)
}

// SetPlatformSwitches sets switches of the platform in the same form.
func (c *Cluster) SetPlatformSwitches(switches string) error {
	return c.post("http://" + c.PlatformAddress.String() + "/switch?" + switches)
}

// Counters decodes the counters of the stand-in with control address addr into v.
func (c *Cluster) Counters(addr netip.AddrPort, v any) error {
	resp, err := c.client.Get("http://" + addr.String() + "/counters")
	if err != nil {
		return fmt.Errorf("reading counters: %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	return json.NewDecoder(resp.Body).Decode(v)
}

// RegisterVM adds a VM to the platform's list of VMs.
func (c *Cluster) RegisterVM(vm storeclient.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return fmt.Errorf("encoding a VM: %w", err)
	}
	return c.call(http.MethodPut, "http://"+c.PlatformAddress.String()+storeclient.PathVMs+"/"+url.PathEscape(vm.Name), body)
}

// DeregisterVM removes a VM from the platform's list of VMs.
func (c *Cluster) DeregisterVM(name string) error {
	return c.call(http.MethodDelete, "http://"+c.PlatformAddress.String()+storeclient.PathVMs+"/"+url.PathEscape(name), nil)
}

func (c *Cluster) post(target string) error {
	return c.call(http.MethodPost, target, nil)
}

func (c *Cluster) call(method, target string, body []byte) error {
	req, err := http.NewRequest(method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("creating a request: %w", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("sending a request: %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("unexpected status %s from %s: %s", resp.Status, target, text)
	}
	return nil
}
