# A second installation: three hubs, branches of unequal size, caches that tell how each miss was filled and report no
# share of hits, a class that must never run twice. `threadhill plan deploy/example/three-hubs` shows what it comes to.

variable "busiest" {
  type        = bool
  default     = false
  description = "the busiest days: one more cache in each branch"
}

locals {
  base     = 19500
  branches = { east-1 = 3, central-1 = 4, west-1 = 5 } # caches by branch
}

settings {
  drain_ms        = 500
  cold_from       = 0.17
  cold_s          = 18
  fall_multiple   = 2
  fall_s          = 1
  upper_cold_from = 0.069
  upper_cold_s    = 18
  purge_grace_ms  = 300
  client_kb_per_s = 4800
  notes           = "all"
  reports         = ["busy", "rif", "x1"]

  class "record-request" {
    repeat      = "unsafe"
    wanted_ms   = 800
    given_up_ms = 3000
    worth       = 3
    write       = true
  }

  class "small-record" {
    repeat         = "safe"
    wanted_ms      = 300
    wanted_stretch = 2
    given_up_ms    = 3000
    late_worth     = 0.2
    fresh_ms       = 12000
  }

  class "big-record" {
    repeat         = "safe"
    wanted_ms      = 500
    wanted_stretch = 2
    given_up_ms    = 6000
    worth          = 2
    late_worth     = 0.15
  }
}

hub "east" {}

hub "central" {}

hub "west" {}

node "east-1" {
  hub  = hub.east
  load = 0.5
}

node "central-1" {
  hub  = hub.central
  load = 0.5
}

node "west-1" {
  hub  = hub.west
  load = 0.5
}

library "archive" {
  hub     = hub.east
  address = "127.0.0.1:${local.base}"
  size    = 8
  warm    = true
}

parent "east" {
  hub     = hub.east
  address = "127.0.0.1:${local.base + 1}"
  warm    = true
}

parent "central" {
  hub     = hub.central
  address = "127.0.0.1:${local.base + 2}"
  warm    = true
}

parent "west" {
  hub     = hub.west
  address = "127.0.0.1:${local.base + 3}"
  warm    = true
}

box "east" {
  for_each = range(local.branches.east-1 + (var.busiest ? 1 : 0))
  node     = node.east-1
  address  = "127.0.0.1:${local.base + 10 + each.value}"
  warm     = each.value < local.branches.east-1
}

box "central" {
  for_each = range(local.branches.central-1 + (var.busiest ? 1 : 0))
  node     = node.central-1
  address  = "127.0.0.1:${local.base + 20 + each.value}"
  warm     = each.value < local.branches.central-1
}

box "west" {
  for_each = range(local.branches.west-1 + (var.busiest ? 1 : 0))
  node     = node.west-1
  address  = "127.0.0.1:${local.base + 30 + each.value}"
  warm     = each.value < local.branches.west-1
}

proxy "east" {
  node   = node.east-1
  listen = "127.0.0.1:${local.base + 100}"
}

proxy "central" {
  node   = node.central-1
  listen = "127.0.0.1:${local.base + 101}"
}

proxy "west" {
  for_each = toset(["1", "2"])
  node     = node.west-1
  listen   = "127.0.0.1:${local.base + 110 + tonumber(each.key)}"
}
