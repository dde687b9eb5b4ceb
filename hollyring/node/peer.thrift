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
