package standin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin/sql"
)

// run runs one statement, which cancelRequest can cancel. If run returns an error,
// the caller must fail the transaction.
func (s *session) run(st *sql.Statement, args []string) (*result, error) {
	if s.tx != nil && s.tx.failed && st.Kind != sql.Commit && st.Kind != sql.Rollback {
		return nil, errTxFailed
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.setCancel(cancel)
	defer s.setCancel(nil)
	res, err := s.execute(ctx, st, args)
	if errors.Is(err, context.Canceled) {
		return nil, errCanceled
	}
	return res, err
}

func (s *session) setCancel(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
}

func (s *session) execute(ctx context.Context, st *sql.Statement, args []string) (*result, error) {
	if err := s.in.faults.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	switch st.Kind {
	case sql.Begin:
		s.begin().explicit = true
		s.tx.readOnly = st.ReadOnly
		return &result{tag: "BEGIN"}, nil
	case sql.Commit:
		return s.commitStatement()
	case sql.Rollback:
		s.rollback()
		return &result{tag: "ROLLBACK"}, nil
	case sql.Set, sql.Reset, sql.Show, sql.Discard, sql.Deallocate:
		return s.executeSetting(st)
	case sql.Call:
		return s.executeCall(ctx, st, args)
	case sql.Insert, sql.Update, sql.Delete:
		return s.executeWrite(ctx, st, args)
	}
	return s.executeRead(ctx, st, args)
}

// begin returns the open transaction of the session, or starts an implicit one.
func (s *session) begin() *tx {
	if s.tx == nil {
		s.tx = &tx{}
	}
	return s.tx
}

func (s *session) commitStatement() (*result, error) {
	if s.tx != nil && s.tx.failed {
		s.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	if err := s.commit(); err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

// commit commits the transaction, if there is one. The transaction ends even if
// the commit fails.
func (s *session) commit() error {
	if s.tx == nil {
		return nil
	}
	defer s.rollback()
	if len(s.tx.writes) == 0 {
		return nil
	}
	if err := s.in.faults.waitUnfrozen(s.ctx); err != nil {
		return err
	}
	if err := s.in.store.commit(s.tx.term, s.tx.writes); err != nil {
		return err
	}
	if s.in.faults.consumeLostAnswer() {
		return errCloseSession
	}
	return nil
}

// rollback discards the transaction, if there is one, and releases its locks.
func (s *session) rollback() {
	if s.tx != nil {
		s.in.locks.release(s.tx)
		s.tx = nil
	}
}

// operandValue returns the text of a literal or of the argument that o refers to.
func operandValue(o sql.Operand, args []string) string {
	if o.Param == 0 {
		return o.Text
	}
	return args[o.Param-1]
}

// executeWrite runs INSERT, UPDATE and DELETE. It locks the row before it acquires
// a slot, so that no statement holds a slot while it waits for a lock.
func (s *session) executeWrite(ctx context.Context, st *sql.Statement, args []string) (*result, error) {
	t := s.begin()
	row := rowKey{st.Table, operandValue(st.Key, args)}
	if err := t.lock(ctx, s.in, row); err != nil {
		return nil, err
	}
	if err := s.in.slots.run(ctx, s.in.cfg.StatementTime); err != nil {
		return nil, err
	}
	if _, err := s.in.store.writableTerm(); err != nil {
		return nil, err
	}
	_, exists := t.get(s.in.store, row)
	text := operandValue(st.Value, args)
	switch {
	case st.Kind == sql.Insert && exists && st.IgnoreConflict:
		return &result{tag: "INSERT 0 0"}, nil
	case st.Kind == sql.Insert && exists:
		return nil, errDuplicateKey
	case st.Kind == sql.Insert:
		t.put(row, &text)
		return &result{tag: "INSERT 0 1"}, nil
	case !exists:
		return &result{tag: writeVerb(st.Kind) + " 0"}, nil
	case st.Kind == sql.Delete:
		t.put(row, nil)
	default:
		t.put(row, &text)
	}
	return &result{tag: writeVerb(st.Kind) + " 1"}, nil
}

func writeVerb(kind sql.Kind) string {
	if kind == sql.Delete {
		return "DELETE"
	}
	return "UPDATE"
}

// executeRead runs the statements that read rows, and SELECT of a literal.
func (s *session) executeRead(ctx context.Context, st *sql.Statement, args []string) (*result, error) {
	t := s.begin()
	if err := s.in.slots.run(ctx, s.in.cfg.StatementTime); err != nil {
		return nil, err
	}
	res := &result{columns: columnsOf(st)}
	switch {
	case st.Kind == sql.Literal:
		res.rows = [][]string{{st.Value.Text}}
	case st.Kind == sql.Count:
		n := len(s.matchingRows(t, st, args))
		res.rows = [][]string{{strconv.Itoa(n)}}
	default:
		rows := s.matchingRows(t, st, args)
		for _, key := range slices.Sorted(maps.Keys(rows)) {
			res.rows = append(res.rows, projectRow(st.Columns, key, rows[key]))
		}
	}
	res.tag = fmt.Sprintf("SELECT %d", len(res.rows))
	return res, nil
}

// matchingRows returns the rows that st selects, by key.
func (s *session) matchingRows(t *tx, st *sql.Statement, args []string) map[string]string {
	if !st.HasKey {
		return t.rows(s.in.store, st.Table)
	}
	key := operandValue(st.Key, args)
	text, ok := t.get(s.in.store, rowKey{st.Table, key})
	if !ok {
		return nil
	}
	return map[string]string{key: text}
}

// projectRow returns the values of columns in a row.
func projectRow(columns []string, key, value string) []string {
	var row []string
	for _, c := range columns {
		if c == "key" {
			row = append(row, key)
		} else {
			row = append(row, value)
		}
	}
	return row
}

// executeCall runs SELECT of a function. The functions that the platform calls
// (status, promote, fence) need no slot.
func (s *session) executeCall(ctx context.Context, st *sql.Statement, args []string) (*result, error) {
	res := &result{columns: columnsOf(st), tag: "SELECT 1"}
	switch st.Function {
	case sql.Status:
		res.rows = [][]string{statusRow(s.in.store.state())}
		return res, nil
	case sql.Sleep:
		seconds, err := strconv.ParseFloat(operandValue(st.Args[0], args), 64)
		if err != nil {
			return nil, errBadParameter
		}
		s.begin()
		res.rows = [][]string{{""}}
		return res, s.in.slots.run(ctx, time.Duration(seconds*float64(time.Second)))
	}
	var numbers []uint64
	for _, arg := range st.Args {
		n, err := strconv.ParseUint(operandValue(arg, args), 10, 64)
		if err != nil {
			return nil, errBadParameter
		}
		numbers = append(numbers, n)
	}
	res.rows = [][]string{{"t"}}
	if st.Function == sql.Promote {
		return res, s.in.store.promote(table.Term(numbers[0]))
	}
	s.in.fence(table.Term(numbers[0]), table.Epoch(numbers[1]), s)
	return res, nil
}

func statusRow(st state) []string {
	return []string{
		st.role().String(),
		strconv.FormatUint(uint64(st.Mark.Term), 10),
		strconv.FormatUint(uint64(st.Mark.Position), 10),
		strconv.FormatUint(uint64(st.TermStart), 10),
	}
}

// executeSetting runs the statements that read or change the state of the session:
// its settings and prepared statements.
func (s *session) executeSetting(st *sql.Statement) (*result, error) {
	switch st.Kind {
	case sql.Set:
		s.settings[st.Name] = st.Value.Text
		return &result{tag: "SET"}, nil
	case sql.Reset:
		if st.Name == "all" {
			clear(s.settings)
		}
		delete(s.settings, st.Name)
		return &result{tag: "RESET"}, nil
	case sql.Discard:
		if s.tx != nil {
			return nil, errActiveTx
		}
		clear(s.settings)
		clear(s.prepared)
		clear(s.portals)
		return &result{tag: "DISCARD ALL"}, nil
	case sql.Deallocate:
		return s.deallocate(st.Name)
	}
	text, err := s.showSetting(st.Name)
	return &result{columns: columnsOf(st), rows: [][]string{{text}}, tag: "SHOW"}, err
}

func (s *session) deallocate(name string) (*result, error) {
	if name == "all" {
		clear(s.prepared)
		return &result{tag: "DEALLOCATE ALL"}, nil
	}
	if s.prepared[name] == nil {
		return nil, errNoStatement
	}
	delete(s.prepared, name)
	return &result{tag: "DEALLOCATE"}, nil
}

func (s *session) showSetting(name string) (string, error) {
	if text, ok := s.settings[name]; ok {
		return text, nil
	}
	switch name {
	case "transaction_read_only":
		if s.in.Role() == table.RolePrimary {
			return "off", nil
		}
		return "on", nil
	case "server_version":
		return "16.0", nil
	}
	return "", errUnknownName
}
