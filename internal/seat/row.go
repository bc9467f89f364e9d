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
	// scanPageSize is the number of rows of one read.
	scanPageSize = 1000
)

// row is the value of a seat's row.
type row struct {
	// Holder is the instance that holds the seat; its address is empty when the
	// seat was resigned.
	Holder  membership.Instance `json:"holder"`
	Epoch   uint64              `json:"epoch"`
	Counter uint64              `json:"counter"`
	// TakeoverTimeoutMs is the time without renewal after which the holder
	// expects that others may take the seat over. It is in the row because VMs
	// with different configurations may derive different values.
	TakeoverTimeoutMs int64 `json:"silence_ms"`
}

func (r row) vacant() bool { return r.Holder.Address == "" }

func (r row) takeoverTimeout() time.Duration {
	return time.Duration(r.TakeoverTimeoutMs) * time.Millisecond
}

func (r row) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("seat: encode row: %v", err)) // no field can fail to encode
	}
	return data
}

func rowKey(index int) string { return rowPrefix + strconv.Itoa(index) }

// storedRow is a row as it was read. A row that does not exist has revision 0
// and is vacant.
type storedRow struct {
	row
	revision uint64
}

func decodeRow(r store.Row) (storedRow, error) {
	s := storedRow{revision: r.Revision}
	if r.Revision == 0 {
		return s, nil
	}
	if err := json.Unmarshal(r.Value, &s.row); err != nil {
		return s, fmt.Errorf("row %s holds no seat: %w", r.Key, err)
	}
	return s, nil
}

// seatTable is the result of reading all seat rows. It need not be a
// consistent snapshot: rows may be newer than changes, but never older.
type seatTable struct {
	changes uint64 // revision of changesKey
	rows    map[int]storedRow
}

// readTable reads all seat rows. The change row is read first, so that a
// transaction conditional on its revision fails if a seat got a new holder
// after the rows were read.
func readTable(ctx context.Context, t store.Table) (*seatTable, error) {
	changes, err := t.Get(ctx, changesKey)
	if err != nil {
		return nil, err
	}
	out := &seatTable{changes: changes[0].Revision, rows: map[int]storedRow{}}
	after := ""
	for {
		rows, err := t.Scan(ctx, rowPrefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			index, err := strconv.Atoi(strings.TrimPrefix(r.Key, rowPrefix))
			if err != nil {
				return nil, fmt.Errorf("row %s has no seat number", r.Key)
			}
			if out.rows[index], err = decodeRow(r); err != nil {
				return nil, err
			}
		}
		if len(rows) < scanPageSize {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}
