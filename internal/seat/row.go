package seat

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
)

// Keys in the table.
const (
	rowPrefix = "seat/"
	// changesKey is written by every transaction that gives a seat a new
	// holder, so that these transactions are serialized.
	changesKey = "seats/changes"
	// scanPage is the number of rows of one read.
	scanPage = 1000
)

// row is the value of a seat's row.
type row struct {
	// Holder is the instance that holds the seat; its address is empty when the
	// seat was resigned.
	Holder  membership.Instance `json:"holder"`
	Epoch   uint64              `json:"epoch"`
	Counter uint64              `json:"counter"`
	// SilenceMs is the silence after which the holder expects that others may
	// take the seat over. It is in the row because holders with different
	// configurations may derive different values.
	SilenceMs int64 `json:"silence_ms"`
}

func (r row) vacant() bool { return r.Holder.Address == "" }

func (r row) silence() time.Duration { return time.Duration(r.SilenceMs) * time.Millisecond }

func (r row) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("seat: encode row: %v", err)) // no field can fail
	}
	return data
}

func key(index int) string { return rowPrefix + strconv.Itoa(index) }

// stored is a row as it was read. A row that does not exist has revision 0 and
// is vacant.
type stored struct {
	row
	revision uint64
}

func decode(r store.Row) (stored, error) {
	s := stored{revision: r.Revision}
	if r.Revision == 0 {
		return s, nil
	}
	if err := json.Unmarshal(r.Value, &s.row); err != nil {
		return s, fmt.Errorf("row %s holds no seat: %w", r.Key, err)
	}
	return s, nil
}

// table is a consistent enough reading of all seat rows: rows may be newer than
// changes, never older.
type table struct {
	changes uint64 // revision of changesKey
	rows    map[int]stored
}

// readTable reads all seat rows. The change row is read first, so that a
// transaction conditional on its revision fails if a seat got a new holder
// after the rows were read.
func readTable(ctx context.Context, t store.Table) (*table, error) {
	changes, err := t.Get(ctx, changesKey)
	if err != nil {
		return nil, err
	}
	out := &table{changes: changes[0].Revision, rows: map[int]stored{}}
	after := ""
	for {
		rows, err := t.Scan(ctx, rowPrefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			index, err := strconv.Atoi(strings.TrimPrefix(r.Key, rowPrefix))
			if err != nil {
				return nil, fmt.Errorf("row %s has no seat number", r.Key)
			}
			if out.rows[index], err = decode(r); err != nil {
				return nil, err
			}
		}
		if len(rows) < scanPage {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}
