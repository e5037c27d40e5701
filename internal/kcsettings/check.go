package kcsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
)

// maxShards keeps the readers of all shards within the append budget's order
// of magnitude; more shards than this only add reads.
const maxShards = 256

// check returns the impossible values of merged settings.
func check(s *Settings) []kcrules.Problem {
	c := &checker{}
	c.instance(s.Instance)
	c.baseURL("/platform/log", s.Platform.Log, true)
	c.baseURL("/platform/list", s.Platform.List, true)
	c.baseURL("/platform/rater", s.Platform.Rater, false)
	c.baseURL("/platform/weights", s.Platform.Weights, false)
	c.bounds("/limits", reflect.ValueOf(s.Limits))
	c.bounds("/timing", reflect.ValueOf(s.Timing))
	if s.Timing.Shards > maxShards {
		c.add("/timing/shards", "%d is above %d", s.Timing.Shards, maxShards)
	}
	c.sessionKeys(s.SessionKeys)
	for _, p := range kcrules.Validate(&s.Rules) {
		c.add("/rules"+p.Path, "%s", p.Message)
	}
	return c.problems
}

// suppliedByOverlay reports whether a base file may leave out the value at
// path, because it differs between sites or instances.
func suppliedByOverlay(path string) bool {
	return strings.HasPrefix(path, "/instance/") || strings.HasPrefix(path, "/platform/") ||
		strings.HasPrefix(path, "/sessionKeys")
}

// WithoutMissingOverlayValues drops the problems of required values that an overlay can
// still supply. It serves the check of a base file.
func (ps Problems) WithoutMissingOverlayValues() Problems {
	var kept Problems
	for _, p := range ps {
		if !suppliedByOverlay(p.Path) || !strings.HasPrefix(p.Message, missing) {
			kept = append(kept, p)
		}
	}
	return kept
}

// missing starts the message of each required value that is not stated.
const missing = "is required"

type checker struct{ problems []kcrules.Problem }

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, kcrules.Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) instance(i Instance) {
	for _, f := range []struct{ path, value, example string }{
		{"/instance/id", i.ID, "entry-a1"},
		{"/instance/zone", i.Zone, "zone-a"},
		{"/instance/region", i.Region, "region-1"},
	} {
		if f.value == "" {
			c.add(f.path, missing+", for example %q", f.example)
		}
	}
	c.address("/instance/listen", i.Listen, true)
	c.address("/instance/admin", i.Admin, true)
	c.address("/instance/peer", i.Peer, false)
	used := make(map[string]string)
	for _, f := range []struct{ path, value string }{
		{"/instance/listen", i.Listen}, {"/instance/admin", i.Admin}, {"/instance/peer", i.Peer},
	} {
		if other, ok := used[f.value]; ok && f.value != "" && !strings.HasSuffix(f.value, ":0") {
			c.add(f.path, "%s has the same address; choose another port", other)
		}
		used[f.value] = f.path
	}
}

func (c *checker) address(path, value string, required bool) {
	if value == "" {
		if required {
			c.add(path, missing+`, for example "127.0.0.1:8080"`)
		}
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, `%q is not an IP address with a port, for example "127.0.0.1:8080"`, value)
	}
}

func (c *checker) baseURL(path, value string, required bool) {
	if value == "" {
		if required {
			c.add(path, missing+`, for example "http://127.0.0.1:9090"`)
		}
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" {
		c.add(path, `%q is not a base URL, for example "http://127.0.0.1:9090"`, value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(path, "the host %q is not an IP address; names are not resolved", u.Hostname())
	}
	if strings.HasSuffix(value, "/") {
		c.add(path, "remove the slash at the end of %q", value)
	}
}

// bounds checks every number inside a section, so that a new field needs no
// check of its own. A field without omitempty has a default and must be above
// 0; for the others 0 means the default.
func (c *checker) bounds(path string, section reflect.Value) {
	for i := range section.NumField() {
		tag := section.Type().Field(i).Tag.Get("json")
		name, options, _ := strings.Cut(tag, ",")
		at, f := path+"/"+name, section.Field(i)
		switch {
		case f.Kind() == reflect.Struct:
			c.bounds(at, f)
		case f.CanInt() && f.Int() < 0:
			c.add(at, "%d is below 0", f.Int())
		case f.CanInt() && f.Int() == 0 && options == "":
			c.add(at, "must be above 0")
		}
	}
}

func (c *checker) sessionKeys(keys []kcsession.Key) {
	if len(keys) == 0 {
		c.add("/sessionKeys", missing+`: at least one {"id", "secret"}`)
	}
	seen := make(map[string]int)
	for i, k := range keys {
		path := fmt.Sprintf("/sessionKeys/%d", i)
		if first, ok := seen[k.ID]; ok || k.ID == "" {
			c.add(path+"/id", "%q is empty or is also the id of key %d; give each key its own", k.ID, first)
		}
		seen[k.ID] = i
		if len(k.Secret) < kcsession.MinSecretBytes {
			c.add(path+"/secret", "has %d bytes, must have at least %d", len(k.Secret), kcsession.MinSecretBytes)
		}
	}
}
