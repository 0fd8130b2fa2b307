package quota

import (
	"encoding/json"
	"errors"
)

// Reports and answers pass many times a second between hosts of different failure
// domains, so their entries are encoded as arrays: the workspace, followed by the
// numbers up to the last one that is not zero.

// MarshalJSON implements json.Marshaler.
func (e Entry) MarshalJSON() ([]byte, error) {
	return marshalRow(e.Workspace, int64(e.Held), int64(e.Waiting), int64(e.Wanted), int64(e.GivenBack))
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *Entry) UnmarshalJSON(body []byte) error {
	name, n, err := unmarshalRow(body)
	*e = Entry{Workspace: name, Held: int(n[0]), Waiting: int(n[1]), Wanted: int(n[2]), GivenBack: int(n[3])}
	return err
}

// MarshalJSON implements json.Marshaler.
func (g Grant) MarshalJSON() ([]byte, error) {
	return marshalRow(g.Workspace, int64(g.Granted), g.RetryMillis)
}

// UnmarshalJSON implements json.Unmarshaler.
func (g *Grant) UnmarshalJSON(body []byte) error {
	name, n, err := unmarshalRow(body)
	*g = Grant{Workspace: name, Granted: int(n[0]), RetryMillis: n[1]}
	return err
}

// maxNumbers is the number of numbers that a row may have. Later builds may send
// more, which are ignored.
const maxNumbers = 4

func marshalRow(name string, numbers ...int64) ([]byte, error) {
	for len(numbers) > 0 && numbers[len(numbers)-1] == 0 {
		numbers = numbers[:len(numbers)-1]
	}
	row := []any{name}
	for _, n := range numbers {
		row = append(row, n)
	}
	return json.Marshal(row)
}

func unmarshalRow(body []byte) (name string, numbers [maxNumbers]int64, err error) {
	var row []json.RawMessage
	if err := json.Unmarshal(body, &row); err != nil {
		return "", numbers, err
	}
	if len(row) == 0 {
		return "", numbers, errors.New("quota: a row without a workspace")
	}
	if err := json.Unmarshal(row[0], &name); err != nil {
		return "", numbers, err
	}
	for i, field := range row[1:min(len(row), 1+maxNumbers)] {
		if err := json.Unmarshal(field, &numbers[i]); err != nil {
			return "", numbers, err
		}
	}
	return name, numbers, nil
}
