package router_test

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/router"
)

// Guards against requests that are matched to a route of another host or of a shorter path prefix.
func TestLongestPathPrefixOfHostMatches(t *testing.T) {
	table := router.NewTable(router.Config{
		Version: 1,
		Routes: []router.Route{
			route("search", "shop.example", "/search/"),
			route("deep", "shop.example", "/search/deep/"),
			route("other", "Other.example", "/search/"),
		},
	})
	f, err := os.Open("testdata/routes.txt")
	assert.NilError(t, err)
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		got := "-"
		if r := table.Match(fields[0], fields[1]); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, fields[3], lines.Text())
	}
	assert.NilError(t, lines.Err())
}

func route(name, host, prefix string) router.Route {
	return router.Route{
		Name:       name,
		Host:       host,
		PathPrefix: prefix,
	}
}
