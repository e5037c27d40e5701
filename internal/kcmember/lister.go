package kcmember

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
)

// Lister reads the platform's list.
type Lister interface {
	// List returns all live and leaving members. Callers must not change them.
	// It may return the slice of an earlier call if nothing has changed.
	List(ctx context.Context) ([]Member, error)
}

// ListResponse is the answer to a read of the list. The fields besides Instances
// are optional; a list without them is read as a whole after every change.
type ListResponse struct {
	// Version names the state that the answer leads to.
	Version string `json:"version,omitempty"`
	// Since is the version of the reader that Instances and Removed are the
	// changes to. Without it Instances is the whole list.
	Since     string   `json:"since,omitempty"`
	Instances []Member `json:"instances"`
	Removed   []string `json:"removed,omitempty"`
	// Count is the number of members of the whole list.
	Count int `json:"count,omitempty"`
}

// HTTPLister reads the list of the platform over HTTP. It asks for the changes
// since its last read: at 3,200 runners the whole list has 393 KB, and each
// member that joins, leaves or loads a version changes it.
type HTTPLister struct {
	// BaseURL is the address of the list service without a trailing slash.
	BaseURL string
	HTTP    *http.Client

	mu          sync.Mutex
	etag        string
	version     string
	lastMembers []Member
}

// List returns the members of the newest list that was read.
func (l *HTTPLister) List(ctx context.Context) ([]Member, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	members, ok, err := l.fetch(ctx)
	if err == nil && !ok {
		l.etag, l.version = "", ""
		members, _, err = l.fetch(ctx)
	}
	if err != nil {
		return nil, err
	}
	l.lastMembers = members
	return members, nil
}

// read returns the list. It reports false if the changes that it got do not
// lead from the last list to the state that the answer describes.
func (l *HTTPLister) fetch(ctx context.Context) ([]Member, bool, error) {
	address := l.BaseURL + "/v1/instances"
	if l.version != "" {
		address += "?since=" + url.QueryEscape(l.version)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return nil, false, errs.Wrap(err)
	}
	if l.etag != "" {
		req.Header.Set("If-None-Match", l.etag)
	}
	resp, err := l.HTTP.Do(req)
	if err != nil {
		return nil, false, errs.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && l.etag != "" {
		return l.lastMembers, true, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, errs.New("list of instances: status %d", resp.StatusCode)
	}
	var page ListResponse
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return nil, false, errs.Wrap(err)
	}
	members := page.Instances
	if page.Since != "" {
		members = page.applyTo(l.lastMembers)
		if page.Since != l.version || len(members) != page.Count {
			return nil, false, nil
		}
	}
	l.etag, l.version = resp.Header.Get("ETag"), page.Version
	return members, true, nil
}

// apply returns the list that the changes of p make of members. A member that
// changed moves to the end.
func (p *ListResponse) applyTo(members []Member) []Member {
	replaced := kcset.New(p.Removed...)
	for _, m := range p.Instances {
		replaced.Add(m.ID)
	}
	out := make([]Member, 0, len(members)+len(p.Instances))
	for _, m := range members {
		if !replaced.Has(m.ID) {
			out = append(out, m)
		}
	}
	return append(out, p.Instances...)
}
