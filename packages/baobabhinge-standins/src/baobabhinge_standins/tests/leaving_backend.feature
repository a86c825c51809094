Feature: A backend server that is leaving gets no new work

  Scenario Outline: Three ways to leave
    Given two regions with callers at three gateways
    When <engine> leaves because <reason>
    Then it gets no new work later than 3 s after that
    And the stream that ran on it ends whole
    And no caller is told of it

    Examples:
      | engine     | reason                          |
      | west-llm-1 | the list of vms says so         |
      | west-llm-2 | its load report says so         |
      | west-llm-3 | an operator drains it           |
