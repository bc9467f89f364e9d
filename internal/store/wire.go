package store

// MaxObjectBytes bounds one object, and the responses that clients read.
const MaxObjectBytes = 16 << 20

// GetRequest is the body of POST /get of the table service.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of POST /scan of the table service.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse is the response to POST /get and POST /scan.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse is the response to POST /commit. Status 409 means that a
// condition did not hold; 429 and 503 mean that the transaction was not applied.
type CommitResponse struct {
	Revision uint64 `json:"revision"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs (GET /vms), which lags behind the
// actual state.
type VM struct {
	Address string  `json:"address"` // IP address of the VM
	Peer    string  `json:"peer"`    // IP:port for links between VMs
	Zone    string  `json:"zone"`
	State   VMState `json:"state"`
}

// VMList is the response to GET /vms.
type VMList struct {
	VMs []VM `json:"vms"`
}
