package engine

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/tokens"
)

// Request headers.
const (
	// HeaderAttempt carries the attempt ID.
	HeaderAttempt = "X-Request-Id"
	// HeaderCorrelation carries the request ID, the same for all attempts.
	HeaderCorrelation = "X-Correlation-Id"
	// HeaderLastEvent carries the ID of the last stream event received.
	HeaderLastEvent = "Last-Event-ID"
	// HeaderLoad is the ORCA load report on every response.
	HeaderLoad = "endpoint-load-metrics"
)

// CompletionRequest is the body of POST /v1/completions and of
// POST /v1/chat/completions; the first takes Prompt, the second Messages.
type CompletionRequest struct {
	Model    string           `json:"model"`
	Prompt   string           `json:"prompt,omitempty"`
	Messages []tokens.Message `json:"messages,omitempty"`
	// MaxTokens is the length of the whole answer, in tokens.
	MaxTokens           int  `json:"max_tokens,omitempty"`
	MaxCompletionTokens int  `json:"max_completion_tokens,omitempty"`
	Stream              bool `json:"stream,omitempty"`
	// Priority orders waiting prefills; lower runs earlier.
	Priority         int               `json:"priority,omitempty"`
	KVTransferParams *KVTransferParams `json:"kv_transfer_params,omitempty"`
	// ContinueFrom is an extension: the first ContinueFrom tokens of the
	// answer are known already; they are prefilled with the prompt, and the
	// generation goes on with the next one.
	ContinueFrom int `json:"continue_from,omitempty"`
}

// KVTransferParams are vLLM's published parameters of a KV transfer.
type KVTransferParams struct {
	DoRemoteDecode  bool   `json:"do_remote_decode"`
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	// RemoteBlockIDs name the KV blocks; they are unique in one life of an
	// engine, so that the first of them finds the prefill result.
	RemoteBlockIDs []int64 `json:"remote_block_ids,omitempty"`
	RemoteHost     string  `json:"remote_host,omitempty"`
	RemotePort     int     `json:"remote_port,omitempty"`
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails tells how much of a prompt came from the prefix cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// CompletionResponse is a whole completion, or one chunk of a streamed one.
type CompletionResponse struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Created          int64             `json:"created"`
	Model            string            `json:"model"`
	Choices          []Choice          `json:"choices"`
	Usage            *Usage            `json:"usage,omitempty"`
	KVTransferParams *KVTransferParams `json:"kv_transfer_params,omitempty"`
}

// Choice is the only choice of a completion. Text is for completions, Message
// for whole chats and Delta for streamed ones.
type Choice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *tokens.Message `json:"message,omitempty"`
	Delta        *Delta          `json:"delta,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Delta is what one chunk adds to a streamed chat message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// AbortRequest is the body of POST /abort_request.
type AbortRequest struct {
	// RID is the attempt ID.
	RID string `json:"rid"`
}

// AbortResponse answers POST /abort_request.
type AbortResponse struct {
	// Released is true if this call released something.
	Released bool `json:"released"`
}

// PullRequest is the body of POST /v1/kv/pull, which one engine sends another.
type PullRequest struct {
	RemoteEngineID  string  `json:"remote_engine_id"`
	RemoteRequestID string  `json:"remote_request_id"`
	RemoteBlockIDs  []int64 `json:"remote_block_ids"`
}

// PullResponse answers POST /v1/kv/pull when the transfer is done.
type PullResponse struct {
	PromptTokens int `json:"prompt_tokens"`
	// ComputedTokens and CachedTokens tell how the prompt's KV came about.
	ComputedTokens int   `json:"computed_tokens"`
	CachedTokens   int   `json:"cached_tokens"`
	Bytes          int64 `json:"bytes"`
}

// HeldRequest is one attempt that the engine holds.
type HeldRequest struct {
	ID            string `json:"id"`
	CorrelationID string `json:"correlation_id"`
	Stage         Stage  `json:"stage"`
	// Pieces is the KV memory held, in pieces.
	Pieces int `json:"pieces"`
	// SinceMS is when the attempt was taken in, in Unix milliseconds.
	SinceMS int64 `json:"since_ms"`
}

// RequestsResponse answers GET /v1/requests.
type RequestsResponse struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Role        config.Role       `json:"role"`
	Requests    []HeldRequest     `json:"requests"`
}

// LoadReport answers GET /load. It is as old as the engine's configured lag.
type LoadReport struct {
	// Seq rises with each report made.
	Seq uint64 `json:"seq"`
	// AtMS is when the report was made, in Unix milliseconds.
	AtMS        int64             `json:"at_ms"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Role        config.Role       `json:"role"`
	Models      []string          `json:"models"`
	// Running counts attempts with a slot, Waiting those in the prefill queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// WaitingTokens counts the prompt tokens of the prefill queue.
	WaitingTokens int  `json:"waiting_tokens"`
	PiecesUsed    int  `json:"pieces_used"`
	PiecesTotal   int  `json:"pieces_total"`
	Draining      bool `json:"draining"`
}

// LoadMetrics is the JSON form of the ORCA load header, of which the values
// are always fresh.
type LoadMetrics struct {
	NamedMetrics NamedMetrics `json:"named_metrics"`
}

// NamedMetrics are the metrics of the ORCA load header. The first three have
// vLLM's names.
type NamedMetrics struct {
	KVCacheUsage    float64 `json:"kv_cache_usage_perc"`
	RequestsWaiting int     `json:"num_requests_waiting"`
	RequestsRunning int     `json:"num_requests_running"`
	Slots           int     `json:"slots"`
	WaitingTokens   int     `json:"waiting_tokens"`
	PiecesUsed      int     `json:"pieces_used"`
	PiecesTotal     int     `json:"pieces_total"`
	// Draining is 1 while the engine leaves, otherwise 0.
	Draining    int               `json:"draining"`
	Seq         uint64            `json:"seq"`
	AtMS        int64             `json:"at_ms"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	// Fence is the order's fencing number.
	Fence    uint64      `json:"fence"`
	Role     config.Role `json:"role"`
	Models   []string    `json:"models"`
	Adapters []string    `json:"adapters"`
	Version  string      `json:"version"`
}

// AppliedOrder is an order that the engine took.
type AppliedOrder struct {
	Order
	// AtMS is when it was taken, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// Changed is false if it only repeated what was in force or on its way.
	Changed bool `json:"changed"`
}

// OrdersResponse answers GET and POST /v1/orders.
type OrdersResponse struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// Role, Models, Adapters and Version are in force now.
	Role     config.Role `json:"role"`
	Models   []string    `json:"models"`
	Adapters []string    `json:"adapters"`
	Version  string      `json:"version"`
	// Highest is the highest fencing number seen.
	Highest       uint64 `json:"highest"`
	ChecksFencing bool   `json:"checks_fencing"`
	// Loading is the order on its way, nil if none.
	Loading *Order `json:"loading,omitempty"`
	// Applied counts all orders taken; History lists the latest, oldest first.
	Applied int            `json:"applied"`
	History []AppliedOrder `json:"history"`
}

// CacheEventType is vLLM's name of a cache event.
type CacheEventType string

// The cache events.
const (
	BlockStored      CacheEventType = "BlockStored"
	BlockRemoved     CacheEventType = "BlockRemoved"
	AllBlocksCleared CacheEventType = "AllBlocksCleared"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Type        CacheEventType     `json:"type"`
	BlockHashes []tokens.BlockHash `json:"block_hashes,omitempty"`
	// ParentBlockHash is the block before the first one stored, if any.
	ParentBlockHash *tokens.BlockHash `json:"parent_block_hash,omitempty"`
	// BlockSize is the size of a block in tokens, for BlockStored.
	BlockSize int `json:"block_size,omitempty"`
}

// CacheBatch is the cache events of one change, under one sequence number. A
// missing number is a gap: the reader reads GET /v1/cache_blocks.
type CacheBatch struct {
	Seq uint64 `json:"seq"`
	// AtMS is when the change happened, in Unix milliseconds.
	AtMS   int64        `json:"at_ms"`
	Events []CacheEvent `json:"events"`
}

// CacheEventsResponse answers GET /v1/cache_events.
type CacheEventsResponse struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// LastSeq is the sequence number of the last published batch. A reader
	// ahead of it has met a new incarnation.
	LastSeq uint64       `json:"last_seq"`
	Batches []CacheBatch `json:"batches"`
}

// CacheBlocksResponse answers GET /v1/cache_blocks: the blocks held after the
// change with number Seq, published or not.
type CacheBlocksResponse struct {
	Incarnation ident.Incarnation  `json:"incarnation"`
	Seq         uint64             `json:"seq"`
	BlockSize   int                `json:"block_size"`
	Hashes      []tokens.BlockHash `json:"hashes"`
}
