package kcmember

import (
	"bytes"
	"encoding/json"

	"github.com/zeebo/errs"
)

// memberList is a list of members in which an item that cannot be decoded costs
// only itself. It keeps its place as a member without a role, which gets no work.
type memberList struct {
	members []Member
	// malformed is the number of items that could not be decoded.
	malformed int
}

func (l *memberList) decode(raw []byte) error {
	items, err := splitArray(raw)
	if err != nil {
		return err
	}
	l.members = make([]Member, 0, len(items))
	for _, item := range items {
		var m Member
		if err := json.Unmarshal(item, &m); err != nil {
			var id struct {
				ID string `json:"id"`
			}
			_ = json.Unmarshal(item, &id) // the id is optional here
			m = Member{ID: id.ID}
			l.malformed++
		}
		l.members = append(l.members, m)
	}
	return nil
}

// decodeListResponse decodes a response and returns the number of its items that
// could not be decoded. The decoder of the standard library rejects a document that
// is nested too deeply as a whole, so the list is cut out of it then.
func decodeListResponse(raw []byte) (response ListResponse, malformed int, err error) {
	if json.Unmarshal(raw, &response) == nil {
		return response, 0, nil
	}
	response = ListResponse{}
	fields, err := splitObject(raw)
	if err != nil {
		return response, 0, err
	}
	var list memberList
	for name, value := range fields {
		switch name {
		case "instances":
			err = list.decode(value)
		case "version":
			err = json.Unmarshal(value, &response.Version)
		case "since":
			err = json.Unmarshal(value, &response.Since)
		case "removed":
			err = json.Unmarshal(value, &response.Removed)
		case "count":
			err = json.Unmarshal(value, &response.Count)
		}
		if err != nil {
			return response, 0, errs.New("list of instances: %s: %v", name, err)
		}
	}
	response.Instances = list.members
	return response, list.malformed, nil
}

// splitObject returns the values of a JSON object by field, without looking into
// them.
func splitObject(raw []byte) (map[string][]byte, error) {
	items, err := splitItems(raw, '{', '}')
	if err != nil {
		return nil, err
	}
	fields := make(map[string][]byte, len(items))
	for _, item := range items {
		end, _ := valueEnd(item, ':')
		var name string
		if end == len(item) || json.Unmarshal(item[:end], &name) != nil {
			return nil, errs.New("field without a name")
		}
		fields[name] = item[end+1:]
	}
	return fields, nil
}

// splitArray returns the items of a JSON array, without looking into them. Null is
// an empty array.
func splitArray(raw []byte) ([][]byte, error) {
	if string(bytes.TrimSpace(raw)) == "null" {
		return nil, nil
	}
	return splitItems(raw, '[', ']')
}

func splitItems(raw []byte, open, closing byte) ([][]byte, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) < 2 || raw[0] != open || raw[len(raw)-1] != closing {
		return nil, errs.New("no %c...%c", open, closing)
	}
	raw = raw[1 : len(raw)-1]
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil, nil
	}
	var items [][]byte
	for {
		end, complete := valueEnd(raw, ',')
		if !complete {
			return nil, errs.New("a value does not end")
		}
		items = append(items, bytes.TrimSpace(raw[:end]))
		if end == len(raw) {
			return items, nil
		}
		raw = raw[end+1:]
	}
}

// valueEnd returns the index of the first separator that is not inside a value, or
// the length of raw. complete is false if a value has not ended there: a part of a document
// may begin and end like the whole one.
func valueEnd(raw []byte, separator byte) (end int, complete bool) {
	depth, inString := 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			if depth--; depth < 0 {
				return len(raw), false
			}
		case c == separator && depth == 0:
			return i, true
		}
	}
	return len(raw), depth == 0 && !inString
}
