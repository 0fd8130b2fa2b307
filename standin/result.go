package standin

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/standin/sql"
)

// Object identifiers (OIDs) of the supported types.
const (
	oidInt8   = 20
	oidInt2   = 21
	oidInt4   = 23
	oidText   = 25
	oidFloat4 = 700
	oidFloat8 = 701
	oidVoid   = 2278
)

// binaryFormat is the format code of binary values; that of text is 0.
const binaryFormat = 1

// column describes a column of a result. The size is that of the type in bytes, or
// -1 if it varies.
type column struct {
	name string
	oid  uint32
	size int16
}

func textColumn(name string) column { return column{name, oidText, -1} }

// result is the result of a statement. Columns are nil if the statement returns no
// rows.
type result struct {
	columns []column
	rows    [][]string
	tag     string
	sent    int // the number of rows sent so far
}

// columnsOf returns the columns of the result of st without running st, or nil if
// the statement returns no rows.
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

// describe returns the row description of columns. As in a Bind message, formats
// has no format code (text for all columns), one for all columns, or one for
// each.
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

// send sends the rows that have not been sent yet, at most limit of them (0 means
// all). PortalSuspended follows if rows remain, else CommandComplete.
func (r *result) send(be *pgproto3.Backend, formats []int16, limit uint32) {
	remaining := r.rows[r.sent:]
	if limit > 0 && uint32(len(remaining)) > limit {
		remaining = remaining[:limit]
	}
	for _, row := range remaining {
		values := make([][]byte, len(row))
		for i, text := range row {
			values[i] = encodeValue(text, r.columns[i].oid, formatOf(formats, i))
		}
		be.Send(&pgproto3.DataRow{Values: values})
	}
	r.sent += len(remaining)
	if r.sent < len(r.rows) {
		be.Send(&pgproto3.PortalSuspended{})
		return
	}
	be.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

// encodeValue encodes the text of a value in the format that a column has.
func encodeValue(text string, oid uint32, format int16) []byte {
	if format != binaryFormat {
		return []byte(text)
	}
	n, _ := strconv.ParseInt(text, 10, 64) // integer columns contain only integers
	switch oid {
	case oidInt8:
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case oidInt4:
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	}
	return []byte(text)
}

// decodeValue returns the value of a parameter as text. It returns errNullValue
// for NULL and errBadParameter if the size does not fit the type.
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
