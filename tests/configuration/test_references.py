"""References between documents: refused changes, and equality of a rebuilt index."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from passlane.configuration.documents import (
    DocumentKind,
    EngineBody,
    PolicyBody,
    ServiceBody,
    TenantBody,
)
from passlane.configuration.parsing import encode_body
from passlane.configuration.references import ReferenceIndex
from passlane.identifiers import Revision
from passlane.messages.common import Address
from passlane.messages.control import Document

NAMES = st.sampled_from(("a", "b"))
MODELS = st.lists(NAMES, max_size=2, unique=True).map(tuple)
BODIES = {
    DocumentKind.ENGINE: st.builds(
        EngineBody, address=st.just(Address("h", 1)), zone=st.just("z"), models=MODELS
    ),
    DocumentKind.POLICY: st.just(PolicyBody(source="1")),
    DocumentKind.SERVICE: st.builds(ServiceBody, models=MODELS, policy=st.none() | NAMES),
    DocumentKind.TENANT: st.builds(TenantBody, service=NAMES),
}
CHANGES = st.sampled_from(sorted(BODIES)).flatmap(
    lambda kind: st.tuples(st.just(kind), NAMES, st.none() | BODIES[kind])
)


def rebuilt(documents):
    """Return the index that a replica builds after a restart."""
    return ReferenceIndex.of(
        Document(kind, name, 1, Revision(1), encode_body(body))
        for (kind, name), body in documents.items()
    )


class ReferencesTest(unittest.TestCase):
    @settings(max_examples=150, derandomize=True, database=None, deadline=None)
    @given(st.lists(CHANGES, max_size=25))
    def test_rebuilt_index_decides_like_the_one_updated_with_each_change(self, changes):
        index = ReferenceIndex()
        documents = {}
        for kind, name, body in changes:
            problem = index.broken_reference(kind, name, body)
            self.assertEqual(rebuilt(documents).broken_reference(kind, name, body), problem)
            if problem is not None:
                continue
            index.put(kind, name, body)
            if body is None:
                documents.pop((kind, name), None)
            else:
                documents[kind, name] = body
            self.assert_references_exist(documents)

    def assert_references_exist(self, documents):
        """Check that the services and policies that others refer to exist."""
        for body in documents.values():
            if isinstance(body, TenantBody):
                self.assertIn((DocumentKind.SERVICE, body.service), documents)
            if isinstance(body, ServiceBody) and body.policy is not None:
                self.assertIn((DocumentKind.POLICY, body.policy), documents)

    def test_service_in_use_cannot_be_deleted_but_an_engine_can(self):
        index = ReferenceIndex()
        engine = EngineBody(address=Address("h", 1), zone="z", models=("m",))
        index.put("engine", "e", engine)
        index.put("service", "s", ServiceBody(models=("m",)))
        index.put("tenant", "t", TenantBody(service="s"))
        self.assertIn("service 's'", index.broken_reference("service", "s", None))
        self.assertIsNone(index.broken_reference("engine", "e", None))
        self.assertIsNone(index.broken_reference("tenant", "t", None))


if __name__ == "__main__":
    unittest.main()
