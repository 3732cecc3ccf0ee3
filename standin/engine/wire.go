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
	// HeaderCorrelation carries the request ID, which all attempts of a request
	// share.
	HeaderCorrelation = "X-Correlation-Id"
	// HeaderLastEvent carries the ID of the last event received of a stream.
	HeaderLastEvent = "Last-Event-ID"
	// HeaderLoad carries the ORCA load report in every response.
	HeaderLoad = "endpoint-load-metrics"
)

// CompletionRequest is the body of POST /v1/completions, which reads Prompt,
// and of POST /v1/chat/completions, which reads Messages.
type CompletionRequest struct {
	Model    string           `json:"model"`
	Prompt   string           `json:"prompt,omitempty"`
	Messages []tokens.Message `json:"messages,omitempty"`
	// MaxTokens is the length of the complete answer, in tokens.
	MaxTokens           int  `json:"max_tokens,omitempty"`
	MaxCompletionTokens int  `json:"max_completion_tokens,omitempty"`
	Stream              bool `json:"stream,omitempty"`
	// Priority orders the prefill queue; lower numbers run earlier.
	Priority         int               `json:"priority,omitempty"`
	KVTransferParams *KVTransferParams `json:"kv_transfer_params,omitempty"`
	// ContinueFrom is an extension: the first ContinueFrom tokens of the
	// answer are already known. They are prefilled with the prompt, and the
	// generation continues with the next token.
	ContinueFrom int `json:"continue_from,omitempty"`
}

// KVTransferParams holds vLLM's published parameters of a KV transfer.
type KVTransferParams struct {
	DoRemoteDecode  bool   `json:"do_remote_decode"`
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	// RemoteBlockIDs identify the KV blocks. They are unique within an
	// incarnation of an engine, so that the first one identifies the prefill
	// result.
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

// UsageDetails counts the prompt tokens found in the prefix cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// CompletionResponse is a complete answer, or one chunk of a streamed one.
type CompletionResponse struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Created          int64             `json:"created"`
	Model            string            `json:"model"`
	Choices          []Choice          `json:"choices"`
	Usage            *Usage            `json:"usage,omitempty"`
	KVTransferParams *KVTransferParams `json:"kv_transfer_params,omitempty"`
}

// Choice is the only choice of a completion. Completions use Text, chats use
// Message and streamed chats use Delta.
type Choice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *tokens.Message `json:"message,omitempty"`
	Delta        *Delta          `json:"delta,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Delta is the part that one chunk adds to a streamed chat message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// AbortRequest is the body of POST /abort_request.
type AbortRequest struct {
	// RID is the attempt ID.
	RID string `json:"rid"`
}

// AbortResponse is the response to POST /abort_request.
type AbortResponse struct {
	// Released is true if this call released something.
	Released bool `json:"released"`
}

// PullRequest is the body of POST /v1/kv/pull, which a decode engine sends to a
// prefill engine.
type PullRequest struct {
	RemoteEngineID  string  `json:"remote_engine_id"`
	RemoteRequestID string  `json:"remote_request_id"`
	RemoteBlockIDs  []int64 `json:"remote_block_ids"`
}

// PullResponse is the response to POST /v1/kv/pull after a complete transfer.
type PullResponse struct {
	PromptTokens int `json:"prompt_tokens"`
	// ComputedTokens and CachedTokens count the prompt tokens that the prefill
	// computed and that it found in the prefix cache.
	ComputedTokens int   `json:"computed_tokens"`
	CachedTokens   int   `json:"cached_tokens"`
	Bytes          int64 `json:"bytes"`
}

// HeldRequest is an attempt that has not ended.
type HeldRequest struct {
	ID            string `json:"id"`
	CorrelationID string `json:"correlation_id"`
	Stage         Stage  `json:"stage"`
	// Pieces is the KV memory held, in pieces.
	Pieces int `json:"pieces"`
	// SinceMS is the arrival time of the attempt, in Unix milliseconds.
	SinceMS int64 `json:"since_ms"`
}

// RequestsResponse is the response to GET /v1/requests.
type RequestsResponse struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Role        config.Role       `json:"role"`
	Requests    []HeldRequest     `json:"requests"`
}

// LoadReport is the response to GET /load. It is as old as Config.LoadLag.
type LoadReport struct {
	// Seq increases with each report made.
	Seq uint64 `json:"seq"`
	// AtMS is the time of the report, in Unix milliseconds.
	AtMS        int64             `json:"at_ms"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Role        config.Role       `json:"role"`
	Models      []string          `json:"models"`
	// Running counts attempts with a slot (on a prefill engine, prefills being
	// computed), Waiting those in the prefill queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// WaitingTokens counts the prompt tokens of the prefill queue.
	WaitingTokens int  `json:"waiting_tokens"`
	PiecesUsed    int  `json:"pieces_used"`
	PiecesTotal   int  `json:"pieces_total"`
	Draining      bool `json:"draining"`
}

// LoadMetrics is the JSON form of the ORCA load header. Its values are always
// current.
type LoadMetrics struct {
	NamedMetrics NamedMetrics `json:"named_metrics"`
}

// NamedMetrics holds the metrics of the ORCA load header. The first three have
// vLLM's names.
type NamedMetrics struct {
	KVCacheUsage    float64 `json:"kv_cache_usage_perc"`
	RequestsWaiting int     `json:"num_requests_waiting"`
	RequestsRunning int     `json:"num_requests_running"`
	Slots           int     `json:"slots"`
	WaitingTokens   int     `json:"waiting_tokens"`
	PiecesUsed      int     `json:"pieces_used"`
	PiecesTotal     int     `json:"pieces_total"`
	// Draining is 1 while the engine is draining, otherwise 0.
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

// AppliedOrder is an order that the engine accepted.
type AppliedOrder struct {
	Order
	// AtMS is the time of acceptance, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// Changed is false if the order only repeated the placement that was
	// current or being applied.
	Changed bool `json:"changed"`
}

// OrdersResponse is the response to GET and POST /v1/orders.
type OrdersResponse struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// Role, Models, Adapters and Version describe the current placement.
	Role     config.Role `json:"role"`
	Models   []string    `json:"models"`
	Adapters []string    `json:"adapters"`
	Version  string      `json:"version"`
	// HighestFence is the highest fencing number seen.
	HighestFence  uint64 `json:"highest"`
	ChecksFencing bool   `json:"checks_fencing"`
	// Loading is the order being applied, nil if none.
	Loading *Order `json:"loading,omitempty"`
	// Applied counts all accepted orders; History lists the latest ones, oldest
	// first.
	Applied int            `json:"applied"`
	History []AppliedOrder `json:"history"`
}

// CacheEventType is the type of a cache event, by vLLM's name.
type CacheEventType string

// Types of cache events.
const (
	BlockStored      CacheEventType = "BlockStored"
	BlockRemoved     CacheEventType = "BlockRemoved"
	AllBlocksCleared CacheEventType = "AllBlocksCleared"
)

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	Type        CacheEventType     `json:"type"`
	BlockHashes []tokens.BlockHash `json:"block_hashes,omitempty"`
	// ParentBlockHash is the block before the first one stored, if any.
	ParentBlockHash *tokens.BlockHash `json:"parent_block_hash,omitempty"`
	// BlockSize is the size of a block in tokens, for BlockStored.
	BlockSize int `json:"block_size,omitempty"`
}

// CacheBatch holds the cache events of one change under one sequence number. If
// a number is missing, batches were lost and the reader must read the snapshot
// at GET /v1/cache_blocks.
type CacheBatch struct {
	Seq uint64 `json:"seq"`
	// AtMS is the time of the change, in Unix milliseconds.
	AtMS   int64        `json:"at_ms"`
	Events []CacheEvent `json:"events"`
}

// CacheEventsResponse is the response to GET /v1/cache_events.
type CacheEventsResponse struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// LastSeq is the sequence number of the last published batch. If it is lower
	// than the reader's, the engine has a new incarnation.
	LastSeq uint64       `json:"last_seq"`
	Batches []CacheBatch `json:"batches"`
}

// CacheBlocksResponse is the response to GET /v1/cache_blocks: the cached
// blocks after the change with number Seq, whether published or not.
type CacheBlocksResponse struct {
	Incarnation ident.Incarnation  `json:"incarnation"`
	Seq         uint64             `json:"seq"`
	BlockSize   int                `json:"block_size"`
	Hashes      []tokens.BlockHash `json:"hashes"`
}
