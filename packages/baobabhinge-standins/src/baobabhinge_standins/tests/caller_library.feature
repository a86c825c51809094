Feature: The caller library moves between gateways only where that is harmless

  Scenario: A stream goes on at another gateway
    Given a region with two gateways, an engine and a ledger
    When a program streams and the gateway it uses is killed
    Then the program has received each token once and in order

  Scenario: Keys are taken ahead and used once
    Given a region with two gateways, an engine and a ledger
    When a program confirms 40 trades while a gateway is killed
    Then each trade ran at most once, and those confirmed ran
    And trades whose outcome is unknown can be asked for with their key

  Scenario: A call of a bound workspace goes to its region
    Given a region with two gateways, an engine and a ledger
    When a program that knows only the other region asks for bound work
    Then the program has received each token once and in order
