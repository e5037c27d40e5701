package kcmember

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
)

// Lister reads the member list of the platform.
type Lister interface {
	// List returns all live and leaving members. It may return the slice of an
	// earlier call if nothing has changed, so callers must not modify it.
	List(ctx context.Context) ([]Member, error)
}

// ListResponse is the response to a read of the list. The fields besides
// Instances are optional; a list service that omits them sends the whole list
// after every change.
type ListResponse struct {
	// Version identifies the state of the list after this response is applied.
	Version string `json:"version,omitempty"`
	// Since is the version that the changes in Instances and Removed apply to.
	// If it is empty, Instances is the whole list.
	Since     string   `json:"since,omitempty"`
	Instances []Member `json:"instances"`
	Removed   []string `json:"removed,omitempty"`
	// Count is the number of members in the whole list after the changes.
	Count int `json:"count,omitempty"`
}

// HTTPLister reads the member list of the platform over HTTP. It requests only
// the changes since its last read: with 3,200 runners the whole list has 393 KB,
// and it changes with each member that joins, leaves or loads a version.
type HTTPLister struct {
	// BaseURL is the URL of the list service without a trailing slash.
	BaseURL string
	HTTP    *http.Client
	// OnMalformed, if set, is called with the number of members in a response that
	// could not be decoded, whenever that number changes. They get no work.
	OnMalformed func(n int)

	mu          sync.Mutex
	etag        string
	version     string
	lastMembers []Member
	malformed   int
}

// maxListBytes limits a response: forty times the list at the target size.
const maxListBytes = 16 << 20

// List reads the list. If the changes cannot be applied, it reads the whole list
// instead.
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

// fetch sends one request and returns the resulting list. It returns false if
// the response holds changes that do not apply to the last list: they start at
// another version, or the result does not have the stated number of members.
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, false, errs.Wrap(err)
	}
	response, malformed, err := decodeListResponse(raw)
	if err != nil {
		return nil, false, errs.Wrap(err)
	}
	if malformed != l.malformed && l.OnMalformed != nil {
		l.OnMalformed(malformed)
	}
	l.malformed = malformed
	members := response.Instances
	if response.Since != "" {
		members = response.applyTo(l.lastMembers)
		if response.Since != l.version || len(members) != response.Count {
			return nil, false, nil
		}
	}
	l.etag, l.version = resp.Header.Get("ETag"), response.Version
	return members, true, nil
}

// applyTo returns members with the changes of p applied. A changed member moves
// to the end of the list.
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
