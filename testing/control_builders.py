"""Builders of tables and members for tests of the control plane."""

import hashlib

from carobstand.core import membership, table

HEADER = (
    "kind,name,service,type,manifest,base,weight,copies,max_out,policy,bytes_per_s,"
    "max_in_flight,max_queue,rate_per_s,priority,non_idempotent,key_sha256\n"
)


def sha256_hex(text):
    return hashlib.sha256(text.encode()).hexdigest()


def version(name, weight=1.0, copies=None, base="", service="drafter"):
    return table.VersionRow(name, service, sha256_hex(name), base, weight, copies)


def rows(*versions, max_out=None):
    return (table.ServiceRow("drafter", max_out=max_out), *versions)


def make_table(*versions, revision=1, max_out=None):
    return table.Table(revision, f"c{revision}", rows(*versions, max_out=max_out))


def member(number, serving=(), held=(), last_seen_at=0.0, domains=3, **options):
    replicas = dict.fromkeys((("drafter", name) for name in held), "VERIFIED")
    replicas |= dict.fromkeys((("drafter", name) for name in serving), "SERVING")
    return membership.Member(
        f"vm-{number:03}",
        start_id=f"s{number}",
        failure_domain=f"fd-{number % domains}",
        services=("drafter",),
        last_seen_at=last_seen_at,
        replicas=replicas,
        **options,
    )
