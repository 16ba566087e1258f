"""Accounts of what organisations were served, on one scale."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

import attrs


class Account(Protocol):
    """An organisation's account.

    Attributes:
        served: Cost served, on a scale that all organisations share.
    """

    served: float


AccountType = TypeVar("AccountType", bound=Account)


@attrs.define
class ServiceAccounts(Generic[AccountType]):
    """Accounts by organisation; whoever was served least goes first.

    Attributes:
        account_type: Makes an account, given the cost that it starts with.
        accounts: Accounts by organisation.
        level: Served cost that a new organisation starts with: the highest at which
            a request was started.
    """

    account_type: type[AccountType]
    accounts: dict[str, AccountType] = attrs.field(factory=dict)
    level: float = 0.0

    def account(self, organisation: str) -> AccountType:
        """Return an organisation's account; a new one starts level with the rest."""
        account = self.accounts.get(organisation)
        if account is None:
            account = self.account_type(served=self.level)
            self.accounts[organisation] = account
        return account

    def charge(self, organisation: str, cost: float) -> AccountType:
        """Add the cost of a request that starts to its organisation's account."""
        account = self.account(organisation)
        self.level = max(self.level, account.served)
        account.served += cost
        return account
