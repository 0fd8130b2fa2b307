package upstream

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// StatusQuery queries the status of an instance. The answer is one row; see
// docs/ops/upstreams.md.
const StatusQuery = "SELECT * FROM amaranthweir.status()"

// statusColumns is the number of columns in the row: role, term, position and the
// position at which the term started.
const statusColumns = 4

// ErrStatus is returned for a row that is not a valid status.
var ErrStatus = errors.New("the status is malformed")

// ParseStatus parses the row that answers StatusQuery, in text format. All its errors
// match ErrStatus.
func ParseStatus[T string | []byte](row []T) (dbedge.Status, error) {
	if len(row) != statusColumns {
		return dbedge.Status{}, ErrStatus
	}
	var status dbedge.Status
	switch string(row[0]) {
	case table.RolePrimary.String():
		status.Role = table.RolePrimary
	case table.RoleReplica.String():
		status.Role = table.RoleReplica
	default:
		return dbedge.Status{}, ErrStatus
	}
	var numbers [statusColumns - 1]uint64
	for i := range numbers {
		n, err := strconv.ParseUint(string(row[i+1]), 10, 64)
		if err != nil {
			return dbedge.Status{}, fmt.Errorf("%w: %w", ErrStatus, err)
		}
		numbers[i] = n
	}
	status.Mark = table.Mark{Term: table.Term(numbers[0]), Position: table.Position(numbers[1])}
	status.TermStart = table.Position(numbers[2])
	return status, nil
}
