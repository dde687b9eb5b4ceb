// Messages between VMs. Printed by bin/generate; do not edit.

struct LimitsAsk {
  1: optional string organisation
  2: optional i64 incarnation
  3: optional i64 ask
  4: optional i64 tokens
}

struct LimitsGrant {
  1: optional string organisation
  2: optional i64 incarnation
  3: optional i64 ask
  4: optional i64 tokens
  5: optional i64 left
}

struct LimitsReturn {
  1: optional string organisation
  2: optional i64 incarnation
  3: optional i64 ask
  4: optional i64 tokens
}

struct LimitsConfirmRequest {
  1: optional i64 revision
  2: optional i64 round
}

struct LimitsConfirm {
  1: optional i64 revision
  2: optional i64 round
  3: optional i64 incarnation
}

struct LimitsSettledQuery {
  1: optional i64 revision
}

struct LimitsSettled {
  1: optional i64 revision
}

struct DeliveryClaimQuestion {
  1: optional binary key
  2: optional string owner
  3: optional i64 incarnation
  4: optional i64 sequence
}

struct DeliveryHeader {
  1: optional string name
  2: optional string value
}

struct DeliveryAnswer {
  1: optional i64 status
  2: optional list<DeliveryHeader> headers
  3: optional binary body
}

struct DeliveryClaimAnswer {
  1: optional string outcome
  2: optional list<DeliveryAnswer> answers
}
