package syncer

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

const (
	// packAbove is the size of the items of an update in bytes from which on they are compressed. Smaller ones fit a few packets.
	packAbove = 4 << 10
	// maxUnpacked bounds the items of an update that another VM sends. Lists of the largest deployment have some 10 MB.
	maxUnpacked = 64 << 20
)

// packed is the last compressed update of a log. The VMs that follow this one mostly lack the same changes.
type packed struct {
	first uint64
	last  uint64
	data  []byte
}

// pack compresses the items of a large update.
func (p *packed) pack(u *Update) error {
	if size(u.Items) < packAbove {
		return nil
	}
	if p.data == nil || p.first != u.first || p.last != u.last {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			return err
		}
		if err := gob.NewEncoder(w).Encode(u.Items); err != nil {
			return err
		}
		if err := w.Close(); err != nil {
			return err
		}
		*p = packed{
			first: u.first,
			last:  u.last,
			data:  b.Bytes(),
		}
	}
	u.Items = nil
	u.Packed = p.data
	return nil
}

func size(items []storeclient.Item) int {
	n := 0
	for _, i := range items {
		n += len(i.Name) + len(i.Value)
	}
	return n
}

// DecodeItems returns the items of an update.
func DecodeItems(u messenger.FollowUpdate) ([]storeclient.Item, error) {
	if len(u.Packed) == 0 {
		return u.Items, nil
	}
	var items []storeclient.Item
	r := flate.NewReader(bytes.NewReader(u.Packed))
	if err := gob.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&items); err != nil {
		return nil, fmt.Errorf("the update of %s cannot be unpacked: %w", u.Kind, err)
	}
	return items, r.Close()
}
