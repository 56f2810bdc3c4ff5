#include "FairShares.h"

#include <algorithm>

namespace currantreel {

namespace {

/// Requests of mean cost by which a workspace may be ahead of its share and still be eligible.
constexpr double allowedRequests = 2.0;

/// Minimum weight, which keeps a share of zero from a division by zero.
constexpr double minWeight = 0.001;

/// Weight of one charge in the mean cost.
constexpr double meanCostGain = 0.05;

} // namespace

void FairShares::activate(WorkspaceId workspace, double weight)
{
    Account &account = m_accounts[workspace];
    m_idle.erase({ account.virtualTime, workspace });
    account.virtualTime = std::max(account.virtualTime, m_virtualTime);
    account.weight = std::max(weight, minWeight);
    account.isActive = true;
    m_totalWeight += account.weight;
    ++m_activeCount;
}

void FairShares::deactivate(WorkspaceId workspace)
{
    Account &account = m_accounts.at(workspace);
    account.isActive = false;
    m_totalWeight -= account.weight;
    --m_activeCount;
    if (m_activeCount == 0) {
        m_accounts.clear();
        m_idle.clear();
        m_virtualTime = 0.0;
        m_totalWeight = 0.0;
        return;
    }
    m_idle.emplace(account.virtualTime, workspace);
    eraseCaughtUp();
}

FairShares::Account &FairShares::accountToCharge(WorkspaceId workspace)
{
    const auto [found, isNew] = m_accounts.try_emplace(workspace);
    Account &account = found->second;
    if (!isNew && !account.isActive)
        m_idle.erase({ account.virtualTime, workspace });
    if (!account.isActive)
        account.virtualTime = std::max(account.virtualTime, m_virtualTime);
    return account;
}

void FairShares::charge(WorkspaceId workspace, double cost)
{
    if (m_activeCount == 0 || cost <= 0.0)
        return;
    Account &account = accountToCharge(workspace);
    // A workspace ahead of its share was served, by capacity that the others did not use or since
    // their requests are overdue: virtual time follows it, so that the others count as behind.
    m_virtualTime = std::max(m_virtualTime, account.virtualTime - allowance(account));
    const double totalWeight = m_totalWeight + (account.isActive ? 0.0 : account.weight);
    account.virtualTime += cost / account.weight;
    m_virtualTime += cost / totalWeight;
    m_meanCost += m_meanCost > 0.0 ? (cost - m_meanCost) * meanCostGain : cost;
    if (!account.isActive)
        m_idle.emplace(account.virtualTime, workspace);
    eraseCaughtUp();
}

double FairShares::allowance(const Account &account) const
{
    return allowedRequests * m_meanCost / account.weight;
}

double FairShares::eligibleAt(WorkspaceId workspace) const
{
    const auto found = m_accounts.find(workspace);
    if (found == m_accounts.end())
        return m_virtualTime;
    return found->second.virtualTime - allowance(found->second);
}

bool FairShares::isBehind(WorkspaceId workspace) const
{
    const auto found = m_accounts.find(workspace);
    return found != m_accounts.end()
           && found->second.virtualTime + allowance(found->second) < m_virtualTime;
}

void FairShares::advanceTo(double virtualTime)
{
    m_virtualTime = std::max(m_virtualTime, virtualTime);
    eraseCaughtUp();
}

void FairShares::eraseCaughtUp()
{
    while (!m_idle.empty()
           && (m_idle.begin()->first <= m_virtualTime || m_idle.size() > maxIdleAccounts)) {
        m_accounts.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
    }
}

} // namespace currantreel
