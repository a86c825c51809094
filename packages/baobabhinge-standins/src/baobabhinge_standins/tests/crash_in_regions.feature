Feature: A crashing request is stopped before it has crossed all regions

  Scenario Outline: One request, three regions with an engine each
    Given three regions with one engine each
    And an engine that crashes ends <how>
    When a caller in east sends a marked prompt three times
    Then at most two engines have run it

    Examples:
      | how                             |
      | at once                         |
      | after 1.5 s without an answer   |
      | after 0.3 s, answering until it |
