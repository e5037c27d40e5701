package kcsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
)

// maxShards keeps the reads of all shards within the order of magnitude of the
// append budget. More shards than this only add reads.
const maxShards = 256

// checkSettings returns a problem for each invalid value of merged settings.
func checkSettings(s *Settings) []kcrules.Problem {
	c := &checker{}
	c.checkInstance(s.Instance)
	c.checkBaseURL("/platform/log", s.Platform.Log, true)
	c.checkBaseURL("/platform/list", s.Platform.List, true)
	c.checkBaseURL("/platform/rater", s.Platform.Rater, false)
	c.checkBaseURL("/platform/weights", s.Platform.Weights, false)
	c.checkNumbers("/limits", reflect.ValueOf(s.Limits))
	c.checkMemory(s.Limits)
	c.checkNumbers("/timing", reflect.ValueOf(s.Timing))
	if s.Timing.Shards > maxShards {
		c.addProblem("/timing/shards", "%d is above %d", s.Timing.Shards, maxShards)
	}
	c.checkSessionKeys(s.SessionKeys)
	for _, p := range kcrules.Validate(&s.Rules) {
		c.addProblem("/rules"+p.Path, "%s", p.Message)
	}
	return c.problems
}

// suppliedByOverlay reports whether a base file may omit the value at path
// because it differs between sites or instances.
func suppliedByOverlay(path string) bool {
	return strings.HasPrefix(path, "/instance/") || strings.HasPrefix(path, "/platform/") ||
		strings.HasPrefix(path, "/sessionKeys")
}

// WithoutMissingOverlayValues returns the problems except those about missing
// required values that an overlay can supply. It is used to check a base file.
func (ps Problems) WithoutMissingOverlayValues() Problems {
	var kept Problems
	for _, p := range ps {
		if !suppliedByOverlay(p.Path) || !strings.HasPrefix(p.Message, requiredMessage) {
			kept = append(kept, p)
		}
	}
	return kept
}

// requiredMessage is the prefix of the message about a missing required value.
const requiredMessage = "is required"

type checker struct{ problems []kcrules.Problem }

func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, kcrules.Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkInstance(i Instance) {
	for _, f := range []struct{ path, value, example string }{
		{"/instance/id", i.ID, "entry-a1"},
		{"/instance/zone", i.Zone, "zone-a"},
		{"/instance/region", i.Region, "region-1"},
	} {
		if f.value == "" {
			c.addProblem(f.path, requiredMessage+", for example %q", f.example)
		}
	}
	c.checkAddress("/instance/listen", i.Listen, true)
	c.checkAddress("/instance/admin", i.Admin, true)
	c.checkAddress("/instance/peer", i.Peer, false)
	fieldByAddress := make(map[string]string)
	for _, f := range []struct{ path, value string }{
		{"/instance/listen", i.Listen}, {"/instance/admin", i.Admin}, {"/instance/peer", i.Peer},
	} {
		if other, ok := fieldByAddress[f.value]; ok && f.value != "" && !strings.HasSuffix(f.value, ":0") {
			c.addProblem(f.path, "%s has the same address; choose another port", other)
		}
		fieldByAddress[f.value] = f.path
	}
}

func (c *checker) checkAddress(path, value string, required bool) {
	if value == "" {
		if required {
			c.addProblem(path, requiredMessage+`, for example "127.0.0.1:8080"`)
		}
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(path, `%q is not an IP address with a port, for example "127.0.0.1:8080"`, value)
	}
}

func (c *checker) checkBaseURL(path, value string, required bool) {
	if value == "" {
		if required {
			c.addProblem(path, requiredMessage+`, for example "http://127.0.0.1:9090"`)
		}
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" {
		c.addProblem(path, `%q is not a base URL, for example "http://127.0.0.1:9090"`, value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.addProblem(path, "the host %q is not an IP address; names are not resolved", u.Hostname())
	}
	if strings.HasSuffix(value, "/") {
		c.addProblem(path, "remove the slash at the end of %q", value)
	}
}

// checkNumbers checks every integer in a section, so that a new field needs no
// check of its own. No field may be below 0. A field without omitempty has a
// default and must be above 0; in the others 0 means the default.
func (c *checker) checkNumbers(path string, section reflect.Value) {
	for i := range section.NumField() {
		tag := section.Type().Field(i).Tag.Get("json")
		name, options, _ := strings.Cut(tag, ",")
		at, f := path+"/"+name, section.Field(i)
		switch {
		case f.Kind() == reflect.Struct:
			c.checkNumbers(at, f)
		case f.CanInt() && f.Int() < 0:
			c.addProblem(at, "%d is below 0", f.Int())
		case f.CanInt() && f.Int() == 0 && options == "":
			c.addProblem(at, "must be above 0")
		}
	}
}

// checkMemory checks that the memory of the process holds a body of the largest size.
func (c *checker) checkMemory(l kcentry.Limits) {
	if least := kcledger.LeastMemory(l.MaxBodyBytes); l.MemoryMB > 0 && l.MemoryMB<<20 < least {
		c.addProblem("/limits/memoryMB", "%d does not hold a body of /limits/maxBodyBytes; set it to at least %d",
			l.MemoryMB, (least+1<<20-1)>>20)
	}
	if l.MaxDescriptors > 0 && l.MaxDescriptors < minDescriptors {
		c.addProblem("/limits/maxDescriptors", "%d is below %d", l.MaxDescriptors, minDescriptors)
	}
}

// minDescriptors is enough for the listeners, the platform and a few callers.
const minDescriptors = 256

func (c *checker) checkSessionKeys(keys []kcsession.Key) {
	if len(keys) == 0 {
		c.addProblem("/sessionKeys", requiredMessage+`: at least one {"id", "secret"}`)
	}
	seen := make(map[string]int)
	for i, k := range keys {
		path := fmt.Sprintf("/sessionKeys/%d", i)
		if first, ok := seen[k.ID]; ok || k.ID == "" {
			c.addProblem(path+"/id", "%q is empty or is also the id of key %d; give each key its own", k.ID, first)
		}
		seen[k.ID] = i
		if len(k.Secret) < kcsession.MinSecretBytes {
			c.addProblem(path+"/secret", "has %d bytes, must have at least %d", len(k.Secret), kcsession.MinSecretBytes)
		}
	}
}
