Feature: A graceful shutdown cuts no call in flight

  Scenario Outline: Every gateway is restarted in turn under load
    Given two regions with two gateways each
    When each gateway gets SIGTERM in turn while <callers> callers stream
    Then every process has ended with exit code 0
    And no answer was cut, and every token arrived once and in order
    And the callers have used every gateway

    Examples:
      | callers |
      | 12      |

  Scenario: A draining gateway tells callers and peers
    Given two regions with two gateways each
    When west-gateway-1 gets SIGTERM while a long stream runs there
    Then no gateway lists it as an entry any more
    And a new call on an open connection is served or refused as draining
    And each answer closes its connection
    And the long stream ends whole
