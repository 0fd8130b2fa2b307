package standin

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/standin/sql"
)

// Object identifiers of the types in use.
const (
	oidInt8   = 20
	oidInt2   = 21
	oidInt4   = 23
	oidText   = 25
	oidFloat4 = 700
	oidFloat8 = 701
	oidVoid   = 2278
)

const binaryFormat = 1

// column describes one column of a result.
type column struct {
	name string
	oid  uint32
	size int16
}

func textColumn(name string) column { return column{name, oidText, -1} }

// result is what a statement returns. Columns are nil if it returns no rows.
type result struct {
	columns []column
	rows    [][]string
	tag     string
	sent    int
}

// columnsOf returns the columns of the statement's result, without running it.
func columnsOf(st *sql.Statement) []column {
	switch st.Kind {
	case sql.Select:
		var columns []column
		for _, name := range st.Columns {
			columns = append(columns, textColumn(name))
		}
		return columns
	case sql.Count:
		return []column{{"count", oidInt8, 8}}
	case sql.Literal:
		return []column{{"?column?", oidInt4, 4}}
	case sql.Show:
		return []column{textColumn(st.Name)}
	case sql.Call:
		return callColumns(st.Function)
	}
	return nil
}

func callColumns(f sql.Function) []column {
	switch f {
	case sql.Status:
		return []column{
			textColumn("role"), textColumn("term"),
			textColumn("position"), textColumn("term_start"),
		}
	case sql.Promote:
		return []column{textColumn("promote")}
	case sql.Fence:
		return []column{textColumn("fence")}
	}
	return []column{{string(f), oidVoid, 4}}
}

// describe returns the description of columns, in the formats that were asked
// for: none (text), one for all, or one each.
func describe(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: c.size,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return d
}

func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

// send sends the rows that are left, limit at most (0 means all), and the end
// of the result.
func (r *result) send(be *pgproto3.Backend, formats []int16, limit uint32) {
	left := r.rows[r.sent:]
	if limit > 0 && uint32(len(left)) > limit {
		left = left[:limit]
	}
	for _, row := range left {
		values := make([][]byte, len(row))
		for i, text := range row {
			values[i] = encodeValue(text, r.columns[i].oid, formatOf(formats, i))
		}
		be.Send(&pgproto3.DataRow{Values: values})
	}
	r.sent += len(left)
	if r.sent < len(r.rows) {
		be.Send(&pgproto3.PortalSuspended{})
		return
	}
	be.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

func encodeValue(text string, oid uint32, format int16) []byte {
	if format != binaryFormat {
		return []byte(text)
	}
	n, _ := strconv.ParseInt(text, 10, 64) // integer columns hold integers only
	switch oid {
	case oidInt8:
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case oidInt4:
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	}
	return []byte(text)
}

// decodeValue returns a parameter as text.
func decodeValue(value []byte, oid uint32, format int16) (string, error) {
	if value == nil {
		return "", errNullValue
	}
	if format != binaryFormat {
		return string(value), nil
	}
	size := map[uint32]int{oidInt2: 2, oidInt4: 4, oidInt8: 8, oidFloat4: 4, oidFloat8: 8}[oid]
	if size != 0 && len(value) != size {
		return "", errBadParameter
	}
	switch oid {
	case oidInt2:
		return strconv.Itoa(int(int16(binary.BigEndian.Uint16(value)))), nil
	case oidInt4:
		return strconv.Itoa(int(int32(binary.BigEndian.Uint32(value)))), nil
	case oidInt8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(value)), 10), nil
	case oidFloat4:
		f := math.Float32frombits(binary.BigEndian.Uint32(value))
		return strconv.FormatFloat(float64(f), 'g', -1, 32), nil
	case oidFloat8:
		f := math.Float64frombits(binary.BigEndian.Uint64(value))
		return strconv.FormatFloat(f, 'g', -1, 64), nil
	}
	return string(value), nil
}
